//! Handles that hot paths count by.

use metrics::{Counter, Gauge};

use crate::process::event::{Close, Refusal};
use crate::process::label::labels;
use crate::process::metric::{self, Metric, level, tagged};
use crate::request::envelope::Fault;
use crate::request::route::Reason;

/// All reasons of [`Balancer::discard`], in the order of [`place`].
const REASONS: [Reason; 7] = [
    Reason::NotQuic,
    Reason::Short,
    Reason::UnknownService,
    Reason::ForgedToken,
    Reason::ForeignToken,
    Reason::DomainOut,
    Reason::NoMember,
];

/// All faults of [`Envelope::reject`], in the order of [`rank`].
const FAULTS: [Fault; 5] =
    [Fault::Short, Fault::Version, Fault::UnknownKey, Fault::Tag, Fault::Header];

/// Counts datagrams at a balancer.
#[derive(Debug, Clone)]
pub struct Balancer {
    /// See [`metric::DATAGRAMS_RECEIVED`].
    received: Counter,
    /// See [`metric::DATAGRAMS_FORWARDED`], by token.
    forwarded: Counter,
    /// See [`metric::DATAGRAMS_FORWARDED`], by offer.
    offered: Counter,
    /// See [`metric::DATAGRAMS_RETURNED`].
    returned: Counter,
    /// See [`metric::DATAGRAMS_DROPPED`], in the order of [`REASONS`].
    dropped: [Counter; REASONS.len()],
    /// The same with the reason that the system did not take the datagram.
    unsent: Counter,
}

impl Balancer {
    /// Resolves the counters.
    pub fn new() -> Self {
        let dropped = |reason| tagged(&metric::DATAGRAMS_DROPPED, &[reason]);
        Self {
            received: metric::counter(&metric::DATAGRAMS_RECEIVED),
            forwarded: tagged(&metric::DATAGRAMS_FORWARDED, &["token"]),
            offered: tagged(&metric::DATAGRAMS_FORWARDED, &["offer"]),
            returned: metric::counter(&metric::DATAGRAMS_RETURNED),
            dropped: REASONS.map(|reason| dropped(reason.as_str())),
            unsent: dropped("unsent"),
        }
    }

    /// A datagram came from a caller.
    pub fn receive(&self) {
        self.received.increment(1);
    }

    /// A datagram was forwarded to the agent in its token.
    pub fn forward(&self) {
        self.forwarded.increment(1);
    }

    /// A datagram was offered to candidates.
    pub fn offer(&self) {
        self.offered.increment(1);
    }

    /// A datagram was returned to its caller.
    pub fn deliver(&self) {
        self.returned.increment(1);
    }

    /// A datagram was dropped.
    pub fn discard(&self, reason: Reason) {
        self.dropped[place(reason)].increment(1);
    }

    /// A datagram was dropped because the system did not take it.
    pub fn discard_unsent(&self) {
        self.unsent.increment(1);
    }
}

impl Default for Balancer {
    fn default() -> Self {
        Self::new()
    }
}

labels! {
    /// Why an agent dropped a datagram of an accepted envelope.
    Drop {
        /// The agent does not serve the service.
        Foreign = "foreign",
        /// The queue of the service's QUIC endpoint was full.
        Overflow = "overflow",
        /// Offered as the opening of a flow, which it is not.
        Opening = "opening",
        /// A message between agents that cannot be read.
        Secret = "secret",
    }
}

/// Counts datagrams that an agent dropped.
#[derive(Debug, Clone)]
pub struct Dropped {
    /// See [`metric::AGENT_DROPPED`], in the order of [`Drop::ALL`].
    dropped: Vec<Counter>,
}

impl Dropped {
    /// Resolves the counters.
    pub fn new() -> Self {
        let counter = |why: &Drop| tagged(&metric::AGENT_DROPPED, &[why.as_str()]);
        Self { dropped: Drop::ALL.iter().map(counter).collect() }
    }

    /// A datagram was dropped.
    pub fn discard(&self, why: Drop) {
        self.dropped[why as usize].increment(1);
    }
}

impl Default for Dropped {
    fn default() -> Self {
        Self::new()
    }
}

/// Counts rejected envelopes.
#[derive(Debug, Clone)]
pub struct Envelope {
    /// See [`metric::ENVELOPES_REJECTED`], in the order of [`FAULTS`].
    rejected: [Counter; FAULTS.len()],
}

impl Envelope {
    /// Resolves the counters.
    pub fn new() -> Self {
        let rejected =
            FAULTS.map(|fault| tagged(&metric::ENVELOPES_REJECTED, &[fault.as_str()]));
        Self { rejected }
    }

    /// An envelope was not accepted.
    pub fn reject(&self, fault: Fault) {
        self.rejected[rank(fault)].increment(1);
    }
}

impl Default for Envelope {
    fn default() -> Self {
        Self::new()
    }
}

/// Counts flows and requests of one service at an agent.
#[derive(Debug, Clone)]
pub struct Agent {
    /// See [`metric::FLOWS_ADMITTED`].
    admitted: Counter,
    /// See [`metric::FLOWS_HANDED_ON`].
    handed_on: Counter,
    /// See [`metric::FLOWS_REFUSED`], in the order of [`Refusal::ALL`].
    refused: Vec<Counter>,
    /// See [`metric::FLOWS_CLOSED`], in the order of [`Close::ALL`].
    closed: Vec<Counter>,
    /// See [`metric::FLOWS_OPEN`].
    open: Gauge,
    /// See [`metric::REQUESTS_RUN`].
    requests_run: Counter,
    /// See [`metric::REQUESTS_ANSWERED`].
    requests_answered: Counter,
    /// See [`metric::REQUESTS_REFUSED`].
    requests_refused: Counter,
    /// See [`metric::REQUESTS_UNKNOWN`].
    requests_unknown: Counter,
    /// See [`metric::QUEUE_LENGTH`].
    queue: Gauge,
    /// See [`metric::SLOTS_BUSY`].
    busy: Gauge,
}

impl Agent {
    /// Resolves the counters of a service, named `ORGANISATION/SERVICE`.
    pub fn new(service: &str) -> Self {
        let plain = |metric: &Metric| tagged(metric, &[service]);
        let by = |metric: &Metric, label| tagged(metric, &[service, label]);
        let refused =
            Refusal::ALL.iter().map(|why| by(&metric::FLOWS_REFUSED, why.as_str()));
        let closed =
            Close::ALL.iter().map(|cause| by(&metric::FLOWS_CLOSED, cause.as_str()));
        Self {
            admitted: plain(&metric::FLOWS_ADMITTED),
            handed_on: plain(&metric::FLOWS_HANDED_ON),
            refused: refused.collect(),
            closed: closed.collect(),
            open: level(&metric::FLOWS_OPEN, &[service]),
            requests_run: plain(&metric::REQUESTS_RUN),
            requests_answered: plain(&metric::REQUESTS_ANSWERED),
            requests_refused: plain(&metric::REQUESTS_REFUSED),
            requests_unknown: plain(&metric::REQUESTS_UNKNOWN),
            queue: level(&metric::QUEUE_LENGTH, &[service]),
            busy: level(&metric::SLOTS_BUSY, &[service]),
        }
    }

    /// A new flow was admitted.
    pub fn admit(&self) {
        self.admitted.increment(1);
    }

    /// A new flow was handed on to the next candidate.
    pub fn hand_on(&self) {
        self.handed_on.increment(1);
    }

    /// A new flow was refused.
    pub fn refuse(&self, why: Refusal) {
        self.refused[why as usize].increment(1);
    }

    /// A flow closed.
    pub fn close(&self, cause: Close) {
        self.closed[cause as usize].increment(1);
    }

    /// Sets the number of open flows.
    pub fn set_open(&self, flows: u32) {
        self.open.set(f64::from(flows));
    }

    /// A request is given to the backend server.
    pub fn run(&self) {
        self.requests_run.increment(1);
    }

    /// A request was answered.
    pub fn answer(&self) {
        self.requests_answered.increment(1);
    }

    /// A request was refused as not run.
    pub fn refuse_request(&self) {
        self.requests_refused.increment(1);
    }

    /// A request ended with an unknown outcome.
    pub fn end_unknown(&self) {
        self.requests_unknown.increment(1);
    }

    /// Sets the number of waiting requests.
    pub fn set_queue(&self, requests: usize) {
        self.queue.set(requests as f64);
    }

    /// Sets the number of slots in use.
    pub fn set_busy(&self, slots: u16) {
        self.busy.set(f64::from(slots));
    }
}

labels! {
    /// Priority of messages of the gossip exchange, highest first.
    Priority {
        /// Configuration, out-of-service and draining state.
        State = "state",
        /// Liveness.
        Liveness = "liveness",
        /// Load.
        Load = "load",
        /// Digests and what is needed to join.
        Digest = "digest",
    }
}

/// Counts bytes of the gossip exchange.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// See [`metric::EXCHANGE_SENT`], in the order of [`Priority::ALL`].
    sent: Vec<Counter>,
    /// See [`metric::EXCHANGE_RECEIVED`], in the order of [`Priority::ALL`].
    received: Vec<Counter>,
}

impl Exchange {
    /// Resolves the counters.
    pub fn new() -> Self {
        let each = |metric| {
            let priorities = Priority::ALL.iter();
            priorities.map(|priority| tagged(metric, &[priority.as_str()])).collect()
        };
        Self {
            sent: each(&metric::EXCHANGE_SENT),
            received: each(&metric::EXCHANGE_RECEIVED),
        }
    }

    /// Bytes were sent.
    pub fn send(&self, priority: Priority, bytes: usize) {
        self.sent[priority as usize].increment(bytes as u64);
    }

    /// Bytes were received.
    pub fn receive(&self, priority: Priority, bytes: usize) {
        self.received[priority as usize].increment(bytes as u64);
    }
}

impl Default for Exchange {
    fn default() -> Self {
        Self::new()
    }
}

labels! {
    /// A kind of store call.
    Call {
        /// Reads keys by prefix.
        Range = "range",
        /// Compares and writes.
        Write = "write",
        /// Obtains a lease.
        Grant = "grant",
        /// Renews a lease.
        Keep = "keep",
        /// Gives up a lease.
        Revoke = "revoke",
        /// Begins a watch.
        Watch = "watch",
    }
}

labels! {
    /// How a store call ended.
    Outcome {
        /// It took effect.
        Done = "done",
        /// A comparison failed.
        Lost = "lost",
        /// The store was not reached.
        Unavailable = "unavailable",
        /// No response in time, and a read had no effect.
        Timeout = "timeout",
        /// No response in time, and a write may have taken effect.
        Unknown = "unknown",
        /// The store or the call budget refused it.
        Throttled = "throttled",
        /// The revision asked for is no longer kept.
        Compacted = "compacted",
        /// The response was not understood.
        Protocol = "protocol",
    }
}

/// Counts store calls.
#[derive(Debug, Clone)]
pub struct Store {
    /// See [`metric::STORE_CALLS`]; rows in the order of [`Call::ALL`], columns in the order
    /// of [`Outcome::ALL`].
    calls: Vec<Vec<Counter>>,
}

impl Store {
    /// Resolves the counters.
    pub fn new() -> Self {
        let row = |call: &Call| {
            let cell = |outcome: &Outcome| {
                tagged(&metric::STORE_CALLS, &[call.as_str(), outcome.as_str()])
            };
            Outcome::ALL.iter().map(cell).collect()
        };
        Self { calls: Call::ALL.iter().map(row).collect() }
    }

    /// A call ended.
    pub fn call(&self, call: Call, outcome: Outcome) {
        self.calls[call as usize][outcome as usize].increment(1);
    }
}

impl Default for Store {
    fn default() -> Self {
        Self::new()
    }
}

/// The place of a reason in [`REASONS`]. Exhaustive, so that a new reason gets a counter.
fn place(reason: Reason) -> usize {
    match reason {
        Reason::NotQuic => 0,
        Reason::Short => 1,
        Reason::UnknownService => 2,
        Reason::ForgedToken => 3,
        Reason::ForeignToken => 4,
        Reason::DomainOut => 5,
        Reason::NoMember => 6,
    }
}

/// The place of a fault in [`FAULTS`]. Exhaustive, so that a new fault gets a counter.
fn rank(fault: Fault) -> usize {
    match fault {
        Fault::Short => 0,
        Fault::Version => 1,
        Fault::UnknownKey => 2,
        Fault::Tag => 3,
        Fault::Header => 4,
    }
}
