//! Callers: they hold flows open, send requests and check the answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use lentilreach::process::leave::Leave;
use lentilreach::process::pool::Pool;
use smol::Task;

use crate::exchange::{Attempt, Exchange, Reply};
use crate::record::{Count, Record};
use crate::tls;

/// Time for a handshake before the caller tries anew.
const CONNECT: Duration = Duration::from_secs(4);

/// Time between two tries to open a flow.
const REOPEN: Duration = Duration::from_millis(100);

/// Attempts of one request at most.
const ATTEMPTS: u32 = 12;

/// Share of requests that are not idempotent.
const CHANGES: f64 = 0.25;

/// Says which ends of flows have a reason that callers cannot see.
pub trait Failures: Clone + Send + Sync + 'static {
    /// Whether a flow to this backend server may be cut: the process crashed, or operators
    /// took its failure domain out. Without a number, whether any may.
    fn excuses(&self, backend: Option<usize>) -> bool;
}

/// What a caller does.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
    /// The service's name.
    pub service: &'static str,
    /// The service's address.
    pub address: SocketAddr,
    /// When it opens its first flow, after its start.
    pub delay: Duration,
    /// Mean time between two requests on a flow.
    pub think: Duration,
    /// How long it keeps a flow; for good if not set.
    pub keep: Option<Duration>,
}

/// Callers of one run.
#[derive(Debug, Clone)]
pub struct Group<F> {
    /// Runs callers.
    pub pool: Pool,
    /// Where they count.
    pub record: Record,
    /// QUIC endpoints that callers share.
    pub endpoints: Arc<[quinn::Endpoint]>,
    /// Which ends of flows have a reason.
    pub failures: F,
    /// Begun when callers are to stop.
    pub stop: Leave,
}

impl<F: Failures> Group<F> {
    /// Starts a caller. `number` distinguishes its requests.
    pub fn start(&self, number: u32, profile: Profile) -> Task<()> {
        let caller =
            Caller { group: self.clone(), profile, number, requests: 0, attempts: 0 };
        self.pool.spawn(caller.run())
    }
}

/// One caller.
struct Caller<F> {
    /// What callers share.
    group: Group<F>,
    /// What it does.
    profile: Profile,
    /// Distinguishes its requests.
    number: u32,
    /// Requests sent.
    requests: u32,
    /// Attempts made.
    attempts: u32,
}

/// An open flow.
struct Flow {
    /// Its QUIC connection.
    quic: quinn::Connection,
    /// Sends requests.
    exchange: Exchange,
    /// Drives HTTP/3.
    _driver: Task<()>,
    /// Ends when the caller would give it up.
    until: Option<Instant>,
    /// The backend server that answers on it, once known.
    backend: Option<usize>,
}

/// How a flow ended.
enum End {
    /// The caller is done.
    Stop,
    /// The caller gave it up, or the service asked for that.
    Moved,
    /// It was cut.
    Cut,
}

/// A request on its way.
struct Pending {
    /// Its number.
    number: u64,
    /// Whether it may run more than once.
    idempotent: bool,
    /// The second in which it was sent.
    second: usize,
    /// Attempts left.
    left: u32,
    /// The key that it may have run under.
    key: Option<String>,
}

impl<F: Failures> Caller<F> {
    /// Opens flows and sends requests until told to stop.
    async fn run(mut self) {
        let mut pending = None;
        Timer::after(self.profile.delay).await;
        while !self.group.stop.has_begun() {
            let Some(mut flow) = self.open().await else {
                Timer::after(REOPEN).await;
                continue;
            };
            self.group.record.add(Count::Opened);
            let end = self.converse(&mut flow, &mut pending).await;
            self.close(&flow, &end);
        }
    }

    /// Opens a flow.
    async fn open(&self) -> Option<Flow> {
        let endpoints = &self.group.endpoints;
        let endpoint = &endpoints[self.number as usize % endpoints.len()];
        let connecting = endpoint.connect(self.profile.address, tls::NAME).ok()?;
        let timeout = async {
            Timer::after(CONNECT).await;
            None
        };
        let quic = future::or(async { connecting.await.ok() }, timeout).await;
        let Some(quic) = quic else {
            self.group.record.add(Count::OpenFailed);
            return None;
        };
        let wrapped = h3_quinn::Connection::new(quic.clone());
        let (mut driver, sender) = h3::client::new(wrapped).await.ok()?;
        let driver = self.group.pool.spawn(async move {
            future::poll_fn(|cx| driver.poll_close(cx)).await;
        });
        let until = self.profile.keep.map(|keep| Instant::now() + keep);
        let exchange = Exchange::new(sender, self.profile.service);
        Some(Flow { quic, exchange, _driver: driver, until, backend: None })
    }

    /// Sends requests on a flow until it ends.
    async fn converse(&mut self, flow: &mut Flow, pending: &mut Option<Pending>) -> End {
        loop {
            if pending.is_none() {
                if flow.backend.is_some()
                    && let Some(end) = self.think(flow).await
                {
                    return end;
                }
                *pending = Some(self.next_request(flow.backend.is_none()));
            }
            let Some(request) = pending else { continue };
            let reply = self.attempt(flow, request).await;
            if self.settle(flow, request, reply).await {
                *pending = None;
            }
            if flow.quic.close_reason().is_some() {
                return if is_graceful(&flow.quic) { End::Moved } else { End::Cut };
            }
            if flow.exchange.is_closing() {
                return End::Moved;
            }
        }
    }

    /// Waits for the time of the next request.
    async fn think(&self, flow: &Flow) -> Option<End> {
        let time = self.profile.think.mul_f64(0.5 + fastrand::f64());
        let idle = async {
            Timer::after(time).await;
            None
        };
        let cut = async {
            flow.quic.closed().await;
            Some(if is_graceful(&flow.quic) { End::Moved } else { End::Cut })
        };
        let stop = async {
            self.group.stop.wait().await;
            Some(End::Stop)
        };
        let end = future::or(cut, future::or(stop, idle)).await;
        let expired = flow.until.is_some_and(|until| until <= Instant::now());
        end.or(expired.then_some(End::Moved))
    }

    /// Makes up a request. The first one on a flow only reads, so that it can be sent
    /// before there is a binding.
    fn next_request(&mut self, first: bool) -> Pending {
        self.requests += 1;
        Pending {
            number: u64::from(self.number) << 32 | u64::from(self.requests),
            idempotent: first || fastrand::f64() >= CHANGES,
            second: self.group.record.sent(),
            left: ATTEMPTS,
            key: None,
        }
    }

    /// Sends a request once.
    async fn attempt(&mut self, flow: &mut Flow, request: &mut Pending) -> Reply {
        self.attempts += 1;
        request.left -= 1;
        let attempt = Attempt {
            number: u64::from(self.number) << 32 | u64::from(self.attempts),
            request: request.number,
            idempotent: request.idempotent,
            key: request.key.clone(),
        };
        let reply = flow.exchange.send(&attempt).await;
        if matches!(reply, Reply::NotRun { .. }) {
            self.group.record.refused(attempt.number);
        }
        reply
    }

    /// Acts on a reply; returns whether the request is done with.
    async fn settle(&self, flow: &mut Flow, request: &mut Pending, reply: Reply) -> bool {
        let record = &self.group.record;
        match reply {
            Reply::Answered { backend } => {
                record.answered(request.second);
                self.meet(flow, backend);
                return true;
            }
            Reply::Mismatched => {
                record.add(Count::Mismatched);
                return true;
            }
            Reply::NotRun { wait } => {
                request.key = None;
                Timer::after(wait).await;
            }
            Reply::NotSent => {}
            Reply::Running => {
                Timer::after(REOPEN).await;
            }
            Reply::Unknown if request.idempotent => {}
            Reply::Unknown if request.key.is_some() => {
                // It was asked again under its key, and still nobody knows.
                record.add(Count::Unknown);
                return true;
            }
            Reply::Unknown => request.key = flow.exchange.last_key(),
            Reply::Done => {
                record.add(Count::Unknown);
                return true;
            }
        }
        if request.left == 0 {
            record.add(Count::GivenUp);
        }
        request.left == 0
    }

    /// Notes which backend server answers on a flow.
    fn meet(&self, flow: &mut Flow, backend: usize) {
        if flow.backend.is_none() {
            flow.backend = Some(backend);
            self.group.record.flow(backend, 1);
        }
    }

    /// Closes a flow and counts how it ended.
    fn close(&self, flow: &Flow, end: &End) {
        if let Some(backend) = flow.backend {
            self.group.record.flow(backend, -1);
        }
        if matches!(end, End::Cut) && !self.group.stop.has_begun() {
            let excused = self.group.failures.excuses(flow.backend);
            let count = if excused { Count::Lost } else { Count::Broken };
            self.group.record.add(count);
            log::info!(
                "flow cut caller={} backend={:?} excused={excused} reason={:?}",
                self.number,
                flow.backend,
                flow.quic.close_reason(),
            );
        }
        let code = h3::error::Code::H3_NO_ERROR.value();
        flow.quic.close(code.try_into().unwrap_or_default(), b"");
    }
}

/// Whether a connection was closed without an error by either side.
fn is_graceful(quic: &quinn::Connection) -> bool {
    match quic.close_reason() {
        Some(quinn::ConnectionError::ApplicationClosed(close)) => {
            close.error_code.into_inner() == h3::error::Code::H3_NO_ERROR.value()
        }
        Some(quinn::ConnectionError::LocallyClosed) => true,
        _ => false,
    }
}
