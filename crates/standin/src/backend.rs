//! A backend server: HTTP/1.1 with slots and a cold start.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use lentilreach::process::pool::Pool;
use parking_lot::Mutex;
use smol::Task;
use smol_hyper::rt::FuturesIo;

use crate::record::{Count, Record};
use crate::work;

/// Time within which a leaving backend server must have stopped getting work.
pub const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// What a backend server bears and how fast it is.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Requests at once when warm; more are shed.
    pub slots: u16,
    /// Requests at once when cold.
    pub cold_slots: u16,
    /// Length of a cold start.
    pub cold: Duration,
    /// Time for a request when warm.
    pub work: Duration,
    /// Factor on that time when cold.
    pub cold_factor: u32,
}

/// A running backend server. Stops without warning when dropped.
#[derive(Debug)]
pub struct Backend {
    /// What its tasks share.
    shared: Arc<Shared>,
    /// Accepts connections.
    task: Mutex<Option<Task<()>>>,
    /// Where it listens.
    address: SocketAddr,
}

/// What the tasks of a backend server share.
#[derive(Debug)]
struct Shared {
    /// Its number in the record.
    number: usize,
    /// The service that it serves.
    service: &'static str,
    /// What it bears.
    capacity: Capacity,
    /// Where it counts.
    record: Record,
    /// Its state.
    state: Mutex<State>,
    /// Runs connections.
    pool: Pool,
}

/// State of a backend server.
#[derive(Debug)]
struct State {
    /// Start of the current cold start.
    cold_since: Instant,
    /// Requests running in this incarnation.
    running: u16,
    /// Counts restarts.
    incarnation: u64,
    /// When its agent announced that it leaves.
    leaving_since: Option<Instant>,
    /// Open connections; cleared when it restarts.
    connections: Vec<Task<()>>,
}

impl Backend {
    /// Starts a backend server at a free port of loopback.
    ///
    /// # Errors
    /// If no socket can be had.
    pub fn start(
        pool: &Pool,
        number: usize,
        service: &'static str,
        capacity: Capacity,
        record: Record,
    ) -> io::Result<Self> {
        let listener = Async::<TcpListener>::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.get_ref().local_addr()?;
        let state = State {
            cold_since: Instant::now(),
            running: 0,
            incarnation: 0,
            leaving_since: None,
            connections: Vec::new(),
        };
        let shared = Arc::new(Shared {
            number,
            service,
            capacity,
            record,
            state: Mutex::new(state),
            pool: pool.clone(),
        });
        let task = pool.spawn(accept(shared.clone(), listener));
        Ok(Self { shared, task: Mutex::new(Some(task)), address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its number in the record.
    pub fn number(&self) -> usize {
        self.shared.number
    }

    /// Whether it is in a cold start.
    pub fn is_cold(&self) -> bool {
        self.shared.is_cold(&self.shared.state.lock())
    }

    /// Notes that its agent has announced that it leaves.
    pub fn leave(&self) {
        self.shared.state.lock().leaving_since = Some(Instant::now());
    }

    /// Whether its agent has announced that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.shared.state.lock().leaving_since.is_some()
    }

    /// Restarts: all connections are cut and a cold start begins.
    pub fn restart(&self) {
        let mut state = self.shared.state.lock();
        state.cold_since = Instant::now();
        state.running = 0;
        state.incarnation += 1;
        let connections = std::mem::take(&mut state.connections);
        drop(state);
        // Dropped outside the lock, since requests in them take it when they end.
        drop(connections);
    }

    /// Turns cold without cutting connections or telling anyone.
    pub fn turn_cold(&self) {
        self.shared.state.lock().cold_since = Instant::now();
    }

    /// Stops without warning.
    pub fn stop(&self) {
        drop(self.task.lock().take());
        self.restart();
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Shared {
    /// Whether it is in a cold start.
    fn is_cold(&self, state: &State) -> bool {
        state.cold_since.elapsed() < self.capacity.cold
    }

    /// Takes a request in, or sheds it. Returns the time that it takes.
    fn begin(self: &Arc<Self>) -> Option<(Running, Duration)> {
        let mut state = self.state.lock();
        let cold = self.is_cold(&state);
        if cold && state.running >= self.capacity.cold_slots {
            self.record.add(Count::ColdOverrun);
        }
        if state.leaving_since.is_some_and(|since| since.elapsed() >= LEAVING_GRACE) {
            self.record.add(Count::LeavingWork);
        }
        if state.running >= self.capacity.slots {
            return None;
        }
        state.running += 1;
        let factor = if cold { self.capacity.cold_factor } else { 1 };
        let running = Running { shared: self.clone(), incarnation: state.incarnation };
        Some((running, self.capacity.work * factor))
    }
}

/// A request that runs. Gives its slot back when dropped.
struct Running {
    /// Where the slot goes back to.
    shared: Arc<Shared>,
    /// The incarnation that it ran in; a later one does not know it.
    incarnation: u64,
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.shared.state.lock();
        if state.incarnation == self.incarnation {
            state.running -= 1;
        }
    }
}

/// Accepts connections until the listener fails.
async fn accept(shared: Arc<Shared>, listener: Async<TcpListener>) {
    while let Ok((stream, _)) = listener.accept().await {
        let task = shared.pool.spawn(connection(shared.clone(), stream));
        let mut state = shared.state.lock();
        state.connections.retain(|task| !task.is_finished());
        state.connections.push(task);
    }
}

/// Serves one connection.
async fn connection(shared: Arc<Shared>, stream: Async<TcpStream>) {
    // Nothing to do about an error: the agent sees it too.
    let _ = stream.get_ref().set_nodelay(true);
    let service = service_fn(move |request| answer(shared.clone(), request));
    let _ = http1::Builder::new().serve_connection(FuturesIo::new(stream), service).await;
}

/// Answers one request.
async fn answer(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let Some((running, time)) = shared.begin() else {
        return Ok(status(StatusCode::SERVICE_UNAVAILABLE));
    };
    let number = work::number(&head.headers, work::REQUEST);
    let attempt = work::number(&head.headers, work::ATTEMPT);
    let (Some(number), Some(attempt)) = (number, attempt) else {
        return Ok(status(StatusCode::BAD_REQUEST));
    };
    let meant = head.headers.get(work::SERVICE).and_then(|value| value.to_str().ok());
    if meant != Some(shared.service) {
        shared.record.add(Count::WrongService);
    }
    shared.record.ran(attempt, number, head.method.is_idempotent());
    if body.collect().await.is_err() {
        return Ok(status(StatusCode::BAD_REQUEST));
    }
    Timer::after(time).await;
    drop(running);
    let mut response = Response::new(Full::from(work::body(shared.service, number)));
    response.headers_mut().insert(work::BACKEND, shared.number.into());
    Ok(response)
}

/// An answer without a body.
fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
