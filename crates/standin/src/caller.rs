//! Stand-in callers: they keep flows open, send requests and verify the responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use lentilreach::process::drain::Drain;
use lentilreach::process::pool::Pool;
use smol::Task;

use crate::http3::{Attempt, Client, Reply};
use crate::record::{Count, Record};
use crate::tls;

/// Timeout of a handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay before a caller retries a failed connection or a request that is still running.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 12;

/// Fraction of requests that are not idempotent.
const NON_IDEMPOTENT_SHARE: f64 = 0.25;

/// Knows the injected failures, which callers cannot see.
pub trait Failures: Clone + Send + Sync + 'static {
    /// Whether an injected failure excuses a cut flow to this backend server: its process
    /// crashed, or operators took its failure domain out. Without a backend server, whether
    /// this holds for any.
    fn is_excused(&self, backend: Option<usize>) -> bool;
}

/// Behaviour of a caller.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
    /// The service's name.
    pub service: &'static str,
    /// The service's address.
    pub address: SocketAddr,
    /// Delay before the first flow.
    pub delay: Duration,
    /// Mean think time between two requests on a flow.
    pub think_time: Duration,
    /// Lifetime of a flow; unlimited if `None`.
    pub lifetime: Option<Duration>,
}

/// State shared by the callers of a run.
#[derive(Debug, Clone)]
pub struct Group<F> {
    /// Runs the callers' tasks.
    pub pool: Pool,
    /// Records events of the run.
    pub record: Record,
    /// QUIC endpoints shared by the callers.
    pub endpoints: Arc<[quinn::Endpoint]>,
    /// The injected failures.
    pub failures: F,
    /// Signals callers to stop.
    pub stop: Drain,
}

impl<F: Failures> Group<F> {
    /// Starts a caller. `number` makes its request numbers unique.
    pub fn start(&self, number: u32, profile: Profile) -> Task<()> {
        let caller =
            Caller { group: self.clone(), profile, number, requests: 0, attempts: 0 };
        self.pool.spawn(caller.run())
    }
}

/// A caller.
struct Caller<F> {
    /// State shared by all callers.
    group: Group<F>,
    /// The caller's behaviour.
    profile: Profile,
    /// Makes the caller's request numbers unique.
    number: u32,
    /// Number of requests sent.
    requests: u32,
    /// Number of attempts made.
    attempts: u32,
}

/// An open flow.
struct Flow {
    /// The QUIC connection.
    quic: quinn::Connection,
    /// Sends requests.
    client: Client,
    /// Drives HTTP/3.
    _driver: Task<()>,
    /// When the caller closes the flow by itself.
    closes_at: Option<Instant>,
    /// The backend server that responds on the flow, once known.
    backend: Option<usize>,
}

/// How a flow ended.
enum End {
    /// The caller was told to stop.
    Stop,
    /// The caller or the service closed the flow gracefully.
    Graceful,
    /// The connection failed.
    Cut,
}

/// A request that is not completed.
struct Pending {
    /// The request's number.
    number: u64,
    /// Whether the request may run more than once.
    idempotent: bool,
    /// The second in which it was sent.
    second: usize,
    /// Attempts left.
    attempts_left: u32,
    /// The idempotency key of an attempt with an unknown outcome.
    key: Option<String>,
}

impl<F: Failures> Caller<F> {
    /// Opens flows and sends requests until told to stop.
    async fn run(mut self) {
        let mut pending = None;
        Timer::after(self.profile.delay).await;
        while !self.group.stop.has_begun() {
            let Some(mut flow) = self.open().await else {
                Timer::after(RETRY_DELAY).await;
                continue;
            };
            self.group.record.increment(Count::Opened);
            let end = self.send_requests(&mut flow, &mut pending).await;
            self.close(&flow, &end);
        }
    }

    /// Opens a flow.
    async fn open(&self) -> Option<Flow> {
        let endpoints = &self.group.endpoints;
        let endpoint = &endpoints[self.number as usize % endpoints.len()];
        let connecting = endpoint.connect(self.profile.address, tls::NAME).ok()?;
        let timeout = async {
            Timer::after(CONNECT_TIMEOUT).await;
            None
        };
        let quic = future::or(async { connecting.await.ok() }, timeout).await;
        let Some(quic) = quic else {
            self.group.record.increment(Count::OpenFailed);
            return None;
        };
        let wrapped = h3_quinn::Connection::new(quic.clone());
        let (mut driver, sender) = h3::client::new(wrapped).await.ok()?;
        let driver = self.group.pool.spawn(async move {
            future::poll_fn(|cx| driver.poll_close(cx)).await;
        });
        let closes_at = self.profile.lifetime.map(|lifetime| Instant::now() + lifetime);
        let client = Client::new(sender, self.profile.service);
        Some(Flow { quic, client, _driver: driver, closes_at, backend: None })
    }

    /// Sends requests on a flow until the flow ends.
    async fn send_requests(
        &mut self,
        flow: &mut Flow,
        pending: &mut Option<Pending>,
    ) -> End {
        loop {
            if pending.is_none() {
                if flow.backend.is_some()
                    && let Some(end) = self.wait_think_time(flow).await
                {
                    return end;
                }
                *pending = Some(self.next_request(flow.backend.is_none()));
            }
            let Some(request) = pending else { continue };
            let reply = self.attempt(flow, request).await;
            if self.handle_reply(flow, request, reply).await {
                *pending = None;
            }
            if flow.quic.close_reason().is_some() {
                return if is_graceful(&flow.quic) { End::Graceful } else { End::Cut };
            }
            if flow.client.is_closing() {
                return End::Graceful;
            }
        }
    }

    /// Waits for the think time; returns how the flow ended, if it did.
    async fn wait_think_time(&self, flow: &Flow) -> Option<End> {
        let time = self.profile.think_time.mul_f64(0.5 + fastrand::f64());
        let idle = async {
            Timer::after(time).await;
            None
        };
        let cut = async {
            flow.quic.closed().await;
            Some(if is_graceful(&flow.quic) { End::Graceful } else { End::Cut })
        };
        let stop = async {
            self.group.stop.wait().await;
            Some(End::Stop)
        };
        let end = future::or(cut, future::or(stop, idle)).await;
        let expired = flow.closes_at.is_some_and(|closes_at| closes_at <= Instant::now());
        end.or(expired.then_some(End::Graceful))
    }

    /// Creates the next request. The first one on a flow is idempotent: an idempotency key
    /// needs a binding, which the first response provides.
    fn next_request(&mut self, first: bool) -> Pending {
        self.requests += 1;
        Pending {
            number: u64::from(self.number) << 32 | u64::from(self.requests),
            idempotent: first || fastrand::f64() >= NON_IDEMPOTENT_SHARE,
            second: self.group.record.add_sent(),
            attempts_left: MAX_ATTEMPTS,
            key: None,
        }
    }

    /// Makes one attempt of a request.
    async fn attempt(&mut self, flow: &mut Flow, request: &mut Pending) -> Reply {
        self.attempts += 1;
        request.attempts_left -= 1;
        let attempt = Attempt {
            number: u64::from(self.number) << 32 | u64::from(self.attempts),
            request: request.number,
            idempotent: request.idempotent,
            key: request.key.clone(),
        };
        let reply = flow.client.send(&attempt).await;
        if matches!(reply, Reply::NotRun { .. } | Reply::Rejected) {
            self.group.record.add_refusal(attempt.number);
        }
        reply
    }

    /// Handles a reply; returns whether the request is completed or abandoned.
    async fn handle_reply(
        &self,
        flow: &mut Flow,
        request: &mut Pending,
        reply: Reply,
    ) -> bool {
        let record = &self.group.record;
        match reply {
            Reply::Answered { backend } => {
                record.add_answered(request.second);
                self.set_backend(flow, backend);
                return true;
            }
            Reply::Mismatched => {
                record.increment(Count::Mismatched);
                return true;
            }
            Reply::NotRun { wait } => {
                request.key = None;
                Timer::after(wait).await;
            }
            Reply::NotSent | Reply::Rejected => {}
            Reply::Running => {
                Timer::after(RETRY_DELAY).await;
            }
            Reply::Unknown if request.idempotent => {}
            Reply::Unknown if request.key.is_some() => {
                // The outcome is still unknown after a retry with the same idempotency key.
                record.increment(Count::Unknown);
                return true;
            }
            Reply::Unknown => request.key = flow.client.last_key(),
            Reply::Done => {
                record.increment(Count::Unknown);
                return true;
            }
        }
        if request.attempts_left == 0 {
            record.increment(Count::Abandoned);
        }
        request.attempts_left == 0
    }

    /// Records which backend server responds on a flow.
    fn set_backend(&self, flow: &mut Flow, backend: usize) {
        if flow.backend.is_none() {
            flow.backend = Some(backend);
            self.group.record.add_flows(backend, 1);
        }
    }

    /// Closes a flow and records how it ended.
    fn close(&self, flow: &Flow, end: &End) {
        if let Some(backend) = flow.backend {
            self.group.record.add_flows(backend, -1);
        }
        if matches!(end, End::Cut) && !self.group.stop.has_begun() {
            let excused = self.group.failures.is_excused(flow.backend);
            let count = if excused { Count::LostToFailure } else { Count::Broken };
            self.group.record.increment(count);
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

/// Whether either side closed the connection without an error.
fn is_graceful(quic: &quinn::Connection) -> bool {
    match quic.close_reason() {
        Some(quinn::ConnectionError::ApplicationClosed(close)) => {
            close.error_code.into_inner() == h3::error::Code::H3_NO_ERROR.value()
        }
        Some(quinn::ConnectionError::LocallyClosed) => true,
        _ => false,
    }
}
