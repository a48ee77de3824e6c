//! Handles for counting in hot paths.

use metrics::{Counter, Gauge};

use crate::process::event::{Close, Refusal};
use crate::process::label::labels;
use crate::process::metric::{self, Metric, counter_with_labels, gauge_with_labels};
use crate::request::envelope::Fault;
use crate::request::route::Reason;

/// All reasons of [`Balancer::count_dropped`], in the order of [`reason_index`].
const REASONS: [Reason; 7] = [
    Reason::NotQuic,
    Reason::Short,
    Reason::UnknownService,
    Reason::ForgedToken,
    Reason::ForeignToken,
    Reason::DomainOut,
    Reason::NoMember,
];

/// All faults of [`Envelope::count_rejected`], in the order of [`fault_index`].
const FAULTS: [Fault; 5] =
    [Fault::Short, Fault::Version, Fault::UnknownKey, Fault::Tag, Fault::Header];

/// Counters for the datagrams of a balancer.
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
    /// See [`metric::DATAGRAMS_DROPPED`], for datagrams that the system refused to send.
    unsent: Counter,
}

impl Balancer {
    /// Resolves the counters.
    pub fn new() -> Self {
        let dropped = |reason| counter_with_labels(&metric::DATAGRAMS_DROPPED, &[reason]);
        Self {
            received: metric::counter(&metric::DATAGRAMS_RECEIVED),
            forwarded: counter_with_labels(&metric::DATAGRAMS_FORWARDED, &["token"]),
            offered: counter_with_labels(&metric::DATAGRAMS_FORWARDED, &["offer"]),
            returned: metric::counter(&metric::DATAGRAMS_RETURNED),
            dropped: REASONS.map(|reason| dropped(reason.as_str())),
            unsent: dropped("unsent"),
        }
    }

    /// Counts a datagram received from a caller.
    pub fn count_received(&self) {
        self.received.increment(1);
    }

    /// Counts a datagram forwarded to the agent that its token names.
    pub fn count_forwarded(&self) {
        self.forwarded.increment(1);
    }

    /// Counts a datagram offered to candidates.
    pub fn count_offered(&self) {
        self.offered.increment(1);
    }

    /// Counts a datagram returned to its caller.
    pub fn count_returned(&self) {
        self.returned.increment(1);
    }

    /// Counts a dropped datagram.
    pub fn count_dropped(&self, reason: Reason) {
        self.dropped[reason_index(reason)].increment(1);
    }

    /// Counts a datagram that was dropped because the system refused to send it.
    pub fn count_unsent(&self) {
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
    DropReason {
        /// The agent does not serve the service.
        Foreign = "foreign",
        /// The queue of the service's QUIC endpoint was full.
        Overflow = "overflow",
        /// It was offered as the opening of a flow, but is none.
        Opening = "opening",
        /// It is a message between agents that cannot be decrypted or decoded.
        Secret = "secret",
    }
}

/// Counters for datagrams that an agent dropped.
#[derive(Debug, Clone)]
pub struct DroppedDatagrams {
    /// See [`metric::AGENT_DROPPED`], in the order of [`DropReason::ALL`].
    dropped: Vec<Counter>,
}

impl DroppedDatagrams {
    /// Resolves the counters.
    pub fn new() -> Self {
        let counter = |reason: &DropReason| {
            counter_with_labels(&metric::AGENT_DROPPED, &[reason.as_str()])
        };
        Self { dropped: DropReason::ALL.iter().map(counter).collect() }
    }

    /// Counts a dropped datagram.
    pub fn count_dropped(&self, reason: DropReason) {
        self.dropped[reason as usize].increment(1);
    }
}

impl Default for DroppedDatagrams {
    fn default() -> Self {
        Self::new()
    }
}

/// Counters for rejected envelopes.
#[derive(Debug, Clone)]
pub struct Envelope {
    /// See [`metric::ENVELOPES_REJECTED`], in the order of [`FAULTS`].
    rejected: [Counter; FAULTS.len()],
}

impl Envelope {
    /// Resolves the counters.
    pub fn new() -> Self {
        let rejected = FAULTS.map(|fault| {
            counter_with_labels(&metric::ENVELOPES_REJECTED, &[fault.as_str()])
        });
        Self { rejected }
    }

    /// Counts a rejected envelope.
    pub fn count_rejected(&self, fault: Fault) {
        self.rejected[fault_index(fault)].increment(1);
    }
}

impl Default for Envelope {
    fn default() -> Self {
        Self::new()
    }
}

/// Metrics of the flows and requests of one service at an agent.
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
    /// Resolves the metrics of the service named `ORGANISATION/SERVICE`.
    pub fn new(service: &str) -> Self {
        let service_counter = |metric: &Metric| counter_with_labels(metric, &[service]);
        let labelled_service_counter =
            |metric: &Metric, label| counter_with_labels(metric, &[service, label]);
        let refused = Refusal::ALL.iter().map(|reason| {
            labelled_service_counter(&metric::FLOWS_REFUSED, reason.as_str())
        });
        let closed = Close::ALL
            .iter()
            .map(|cause| labelled_service_counter(&metric::FLOWS_CLOSED, cause.as_str()));
        Self {
            admitted: service_counter(&metric::FLOWS_ADMITTED),
            handed_on: service_counter(&metric::FLOWS_HANDED_ON),
            refused: refused.collect(),
            closed: closed.collect(),
            open: gauge_with_labels(&metric::FLOWS_OPEN, &[service]),
            requests_run: service_counter(&metric::REQUESTS_RUN),
            requests_answered: service_counter(&metric::REQUESTS_ANSWERED),
            requests_refused: service_counter(&metric::REQUESTS_REFUSED),
            requests_unknown: service_counter(&metric::REQUESTS_UNKNOWN),
            queue: gauge_with_labels(&metric::QUEUE_LENGTH, &[service]),
            busy: gauge_with_labels(&metric::SLOTS_BUSY, &[service]),
        }
    }

    /// Counts a new flow that was admitted.
    pub fn count_admitted(&self) {
        self.admitted.increment(1);
    }

    /// Counts a new flow that was handed on to the next candidate.
    pub fn count_handed_on(&self) {
        self.handed_on.increment(1);
    }

    /// Counts a new flow that was refused.
    pub fn count_refused(&self, reason: Refusal) {
        self.refused[reason as usize].increment(1);
    }

    /// Counts a closed flow.
    pub fn count_closed(&self, cause: Close) {
        self.closed[cause as usize].increment(1);
    }

    /// Sets the number of open flows.
    pub fn set_open_flows(&self, flows: u32) {
        self.open.set(f64::from(flows));
    }

    /// Counts a request that is being sent to the backend server.
    pub fn count_run(&self) {
        self.requests_run.increment(1);
    }

    /// Counts an answered request.
    pub fn count_answered(&self) {
        self.requests_answered.increment(1);
    }

    /// Counts a request that was refused without being run.
    pub fn count_refused_request(&self) {
        self.requests_refused.increment(1);
    }

    /// Counts a request that ended with an unknown outcome.
    pub fn count_unknown(&self) {
        self.requests_unknown.increment(1);
    }

    /// Sets the number of waiting requests.
    pub fn set_queue_length(&self, requests: usize) {
        self.queue.set(requests as f64);
    }

    /// Sets the number of slots in use.
    pub fn set_busy_slots(&self, slots: u16) {
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
        /// Digests, and messages of processes that join.
        Digest = "digest",
    }
}

/// Counters for bytes of the gossip exchange.
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
            priorities
                .map(|priority| counter_with_labels(metric, &[priority.as_str()]))
                .collect()
        };
        Self {
            sent: each(&metric::EXCHANGE_SENT),
            received: each(&metric::EXCHANGE_RECEIVED),
        }
    }

    /// Counts sent bytes.
    pub fn count_sent(&self, priority: Priority, bytes: usize) {
        self.sent[priority as usize].increment(bytes as u64);
    }

    /// Counts received bytes.
    pub fn count_received(&self, priority: Priority, bytes: usize) {
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
        /// Compares keys and writes.
        Write = "write",
        /// Obtains a lease.
        Grant = "grant",
        /// Renews a lease.
        Keep = "keep",
        /// Revokes a lease.
        Revoke = "revoke",
        /// Starts a watch.
        Watch = "watch",
    }
}

labels! {
    /// How a store call ended.
    Outcome {
        /// It took effect.
        Done = "done",
        /// A comparison failed, so nothing was written.
        Lost = "lost",
        /// The store could not be reached.
        Unavailable = "unavailable",
        /// There was no response in time to a read, which has no effect.
        Timeout = "timeout",
        /// There was no response in time to a write, which may have taken effect.
        Unknown = "unknown",
        /// The store or the local call budget refused it.
        Throttled = "throttled",
        /// The requested revision has been compacted.
        Compacted = "compacted",
        /// The response was invalid.
        Protocol = "protocol",
    }
}

/// Counters for store calls.
#[derive(Debug, Clone)]
pub struct Store {
    /// See [`metric::STORE_CALLS`]; rows in the order of [`Call::ALL`], columns in the
    /// order of [`Outcome::ALL`].
    calls: Vec<Vec<Counter>>,
}

impl Store {
    /// Resolves the counters.
    pub fn new() -> Self {
        let row = |call: &Call| {
            let cell = |outcome: &Outcome| {
                counter_with_labels(
                    &metric::STORE_CALLS,
                    &[call.as_str(), outcome.as_str()],
                )
            };
            Outcome::ALL.iter().map(cell).collect()
        };
        Self { calls: Call::ALL.iter().map(row).collect() }
    }

    /// Counts a call that ended.
    pub fn count_call(&self, call: Call, outcome: Outcome) {
        self.calls[call as usize][outcome as usize].increment(1);
    }
}

impl Default for Store {
    fn default() -> Self {
        Self::new()
    }
}

/// Index of a reason in [`REASONS`]. The match is exhaustive, so that a new reason gets a
/// counter.
fn reason_index(reason: Reason) -> usize {
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

/// Index of a fault in [`FAULTS`]. The match is exhaustive, so that a new fault gets a
/// counter.
fn fault_index(fault: Fault) -> usize {
    match fault {
        Fault::Short => 0,
        Fault::Version => 1,
        Fault::UnknownKey => 2,
        Fault::Tag => 3,
        Fault::Header => 4,
    }
}
