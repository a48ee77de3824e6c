//! Stand-in backend server: HTTP/1.1 with limited concurrency (slots) and a cold start.

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

use crate::payload;
use crate::record::{Count, Record};

/// Time after which a leaving backend server must not receive new requests.
pub const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// Concurrency limits and response times of a backend server.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Maximum concurrent requests; more are rejected.
    pub slots: u16,
    /// Concurrent requests allowed during a cold start. Exceeding it is only counted.
    pub cold_slots: u16,
    /// Duration of a cold start.
    pub cold_start: Duration,
    /// Processing time of a request when warm.
    pub request_time: Duration,
    /// Multiplier of the processing time during a cold start.
    pub cold_factor: u32,
}

/// A running backend server. Stops abruptly when dropped.
#[derive(Debug)]
pub struct Backend {
    /// State shared by the tasks.
    shared: Arc<Shared>,
    /// Accepts connections.
    task: Mutex<Option<Task<()>>>,
    /// The listening address.
    address: SocketAddr,
}

/// State shared by the tasks of a [`Backend`].
#[derive(Debug)]
struct Shared {
    /// Index in the record.
    number: usize,
    /// Name of the service.
    service: &'static str,
    /// Concurrency limits and response times.
    capacity: Capacity,
    /// Records events of the run.
    record: Record,
    /// The mutable state.
    state: Mutex<State>,
    /// Runs connection tasks.
    pool: Pool,
}

/// Mutable state of a [`Backend`].
#[derive(Debug)]
struct State {
    /// When the most recent cold start began.
    cold_start_began: Instant,
    /// Number of running requests of this incarnation.
    running: u16,
    /// Number of restarts.
    incarnation: u64,
    /// When its agent announced that it is leaving.
    leaving_since: Option<Instant>,
    /// Tasks of open connections; dropped on a restart.
    connections: Vec<Task<()>>,
}

impl Backend {
    /// Starts a backend server on a free loopback port.
    ///
    /// # Errors
    /// Returns an error if no socket can be bound.
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
            cold_start_began: Instant::now(),
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

    /// The listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Index in the record.
    pub fn number(&self) -> usize {
        self.shared.number
    }

    /// Whether a cold start is in progress.
    pub fn is_cold(&self) -> bool {
        self.shared.is_cold(&self.shared.state.lock())
    }

    /// Records that its agent has announced that it is leaving.
    pub fn leave(&self) {
        self.shared.state.lock().leaving_since = Some(Instant::now());
    }

    /// Whether its agent has announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.shared.state.lock().leaving_since.is_some()
    }

    /// Restarts: closes all connections and begins a cold start.
    pub fn restart(&self) {
        let mut state = self.shared.state.lock();
        state.cold_start_began = Instant::now();
        state.running = 0;
        state.incarnation += 1;
        let connections = std::mem::take(&mut state.connections);
        drop(state);
        // Dropped after unlocking: dropping a running request locks the state.
        drop(connections);
    }

    /// Begins a cold start without closing connections or notifying anyone.
    pub fn begin_cold_start(&self) {
        self.shared.state.lock().cold_start_began = Instant::now();
    }

    /// Stops abruptly.
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
    /// Whether a cold start is in progress.
    fn is_cold(&self, state: &State) -> bool {
        state.cold_start_began.elapsed() < self.capacity.cold_start
    }

    /// Admits a request and returns its processing time, or returns `None` if all slots are
    /// taken.
    fn admit(self: &Arc<Self>) -> Option<(RunningRequest, Duration)> {
        let mut state = self.state.lock();
        let cold = self.is_cold(&state);
        if cold && state.running >= self.capacity.cold_slots {
            self.record.increment(Count::ColdOverrun);
        }
        if state.leaving_since.is_some_and(|since| since.elapsed() >= LEAVING_GRACE) {
            self.record.increment(Count::RequestWhileLeaving);
        }
        if state.running >= self.capacity.slots {
            return None;
        }
        state.running += 1;
        let factor = if cold { self.capacity.cold_factor } else { 1 };
        let running =
            RunningRequest { shared: self.clone(), incarnation: state.incarnation };
        Some((running, self.capacity.request_time * factor))
    }
}

/// A running request. Releases its slot when dropped.
struct RunningRequest {
    /// The server that owns the slot.
    shared: Arc<Shared>,
    /// The incarnation that admitted the request; a restart resets the slot count.
    incarnation: u64,
}

impl Drop for RunningRequest {
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
        let task = shared.pool.spawn(serve_connection(shared.clone(), stream));
        let mut state = shared.state.lock();
        state.connections.retain(|task| !task.is_finished());
        state.connections.push(task);
    }
}

/// Serves one connection.
async fn serve_connection(shared: Arc<Shared>, stream: Async<TcpStream>) {
    // Errors need no handling here: the agent sees that the connection failed.
    let _ = stream.get_ref().set_nodelay(true);
    let service = service_fn(move |request| respond(shared.clone(), request));
    let _ = http1::Builder::new().serve_connection(FuturesIo::new(stream), service).await;
}

/// Answers one request.
async fn respond(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let Some((running, time)) = shared.admit() else {
        return Ok(status(StatusCode::SERVICE_UNAVAILABLE));
    };
    let number = payload::number(&head.headers, payload::REQUEST);
    let attempt = payload::number(&head.headers, payload::ATTEMPT);
    let (Some(number), Some(attempt)) = (number, attempt) else {
        return Ok(status(StatusCode::BAD_REQUEST));
    };
    let requested_service =
        head.headers.get(payload::SERVICE).and_then(|value| value.to_str().ok());
    if requested_service != Some(shared.service) {
        shared.record.increment(Count::WrongService);
    }
    shared.record.add_run(attempt, number, head.method.is_idempotent());
    if body.collect().await.is_err() {
        return Ok(status(StatusCode::BAD_REQUEST));
    }
    Timer::after(time).await;
    drop(running);
    let mut response = Response::new(Full::from(payload::body(shared.service, number)));
    response.headers_mut().insert(payload::BACKEND, shared.number.into());
    Ok(response)
}

/// A response with a status code and no body.
fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
