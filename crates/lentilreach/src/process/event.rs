//! The timeline of a process: its events, with their times and causes.
//!
//! Decision logic returns a [`Draft`]. The front end passes it with the wall-clock time
//! to a [`Recorder`], which adds a stamp and stores the event. [`merge::merge`] combines
//! the timelines of several processes. Events contain only names, identifiers and labels,
//! never key material, request contents or addresses of callers.

pub mod filter;
pub mod merge;
pub mod recorder;
pub mod ring;
pub mod wire;

use crate::id::node;
use crate::process::clock::Stamp;
use crate::process::label::labels;
use crate::process::name::Name;

pub use filter::Filter;
pub use recorder::Recorder;
pub use ring::Ring;

/// One entry of the timeline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Time of recording. A cause has a lower stamp than its effect.
    pub stamp: Stamp,
    /// The process that recorded the event.
    pub process: Name,
    /// The failure domain of that process.
    pub domain: Name,
    /// The service concerned, as `ORGANISATION/SERVICE`, if any.
    pub service: Option<Name>,
    /// The configuration revision concerned, if any.
    pub revision: Option<u64>,
    /// What happened.
    pub kind: Kind,
}

/// An event that has no stamp and process yet. Decision logic returns it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Draft {
    /// The service concerned, if any.
    pub service: Option<Name>,
    /// The configuration revision concerned, if any.
    pub revision: Option<u64>,
    /// What happened.
    pub kind: Kind,
}

impl Draft {
    /// Sets the service concerned.
    pub fn with_service(mut self, service: &Name) -> Self {
        self.service = Some(service.clone());
        self
    }

    /// Sets the configuration revision concerned.
    pub fn with_revision(mut self, revision: u64) -> Self {
        self.revision = Some(revision);
        self
    }
}

impl From<Kind> for Draft {
    fn from(kind: Kind) -> Self {
        Self { service: None, revision: None, kind }
    }
}

/// What happened, with its details.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// The process started.
    ProcessStarted {
        /// Role of the process.
        role: Role,
        /// Identifier of its incarnation.
        node: node::Id,
    },
    /// The process started a graceful shutdown.
    ProcessStopping {
        /// Why it stops.
        cause: Stop,
    },
    /// The process finished its graceful shutdown.
    ProcessStopped,
    /// The configuration revision of the event came into force.
    ConfigInForce,
    /// A configuration value was rejected; the previous one stays in force.
    ConfigRejected {
        /// The store key of the value.
        entry: Name,
        /// The error, without the value itself.
        reason: Name,
    },
    /// The process learned that a failure domain was taken out of service.
    DomainOut {
        /// The failure domain.
        affected: Name,
    },
    /// The process learned that a failure domain is back in service.
    DomainBack {
        /// The failure domain.
        affected: Name,
    },
    /// The process heard from an agent for the first time.
    MemberJoined {
        /// Name of the agent's process, or its node identifier while the name is unknown.
        member: Name,
    },
    /// An agent announced that it drains.
    MemberLeaving {
        /// As in [`Kind::MemberJoined`].
        member: Name,
    },
    /// An agent has not been heard from for too long and gets no new flows.
    MemberSilent {
        /// As in [`Kind::MemberJoined`].
        member: Name,
    },
    /// The process heard from a silent agent again.
    MemberHeard {
        /// As in [`Kind::MemberJoined`].
        member: Name,
    },
    /// An agent left, or was removed after long silence.
    MemberGone {
        /// As in [`Kind::MemberJoined`].
        member: Name,
    },
    /// The backend server is cold, so the agent limits its load.
    BackendCold {
        /// How the agent detected it.
        evidence: Evidence,
    },
    /// The backend server is warm again.
    BackendWarm,
    /// The agent started to drain.
    DrainStarted {
        /// Why it drains.
        cause: Drain,
    },
    /// The agent finished draining.
    DrainFinished {
        /// How the drain ended.
        end: DrainEnd,
    },
    /// The agent admitted a flow. Sampled, see [`recorder::Bounds::sample_interval`].
    FlowOpened {
        /// Identifies the flow in this process, with the same value at opening and
        /// closing.
        flow: u64,
    },
    /// A flow of the agent closed. Sampled.
    FlowClosed {
        /// As in [`Kind::FlowOpened`].
        flow: u64,
        /// Why it closed.
        cause: Close,
    },
    /// The agent, as the last candidate, refused a flow. Sampled.
    FlowRefused {
        /// As in [`Kind::FlowOpened`].
        flow: u64,
        /// Why it was refused.
        reason: Refusal,
    },
    /// The process obtained a relay slot of its failure domain.
    RelayGained {
        /// Number of the slot.
        slot: u8,
    },
    /// The process lost a relay slot.
    RelayLost {
        /// Number of the slot.
        slot: u8,
    },
    /// The process uses a new key ring.
    KeysRotated {
        /// Identifier of the key for new tokens and messages. It is not secret.
        key: u8,
    },
    /// The store stopped responding.
    StoreAway,
    /// The store is responding again.
    StoreBack,
}

impl Kind {
    /// The kind without its fields.
    pub fn label(&self) -> Label {
        match self {
            Self::ProcessStarted { .. } => Label::ProcessStarted,
            Self::ProcessStopping { .. } => Label::ProcessStopping,
            Self::ProcessStopped => Label::ProcessStopped,
            Self::ConfigInForce => Label::ConfigInForce,
            Self::ConfigRejected { .. } => Label::ConfigRejected,
            Self::DomainOut { .. } => Label::DomainOut,
            Self::DomainBack { .. } => Label::DomainBack,
            Self::MemberJoined { .. } => Label::MemberJoined,
            Self::MemberLeaving { .. } => Label::MemberLeaving,
            Self::MemberSilent { .. } => Label::MemberSilent,
            Self::MemberHeard { .. } => Label::MemberHeard,
            Self::MemberGone { .. } => Label::MemberGone,
            Self::BackendCold { .. } => Label::BackendCold,
            Self::BackendWarm => Label::BackendWarm,
            Self::DrainStarted { .. } => Label::DrainStarted,
            Self::DrainFinished { .. } => Label::DrainFinished,
            Self::FlowOpened { .. } => Label::FlowOpened,
            Self::FlowClosed { .. } => Label::FlowClosed,
            Self::FlowRefused { .. } => Label::FlowRefused,
            Self::RelayGained { .. } => Label::RelayGained,
            Self::RelayLost { .. } => Label::RelayLost,
            Self::KeysRotated { .. } => Label::KeysRotated,
            Self::StoreAway => Label::StoreAway,
            Self::StoreBack => Label::StoreBack,
        }
    }

    /// The flow that the event is about, for the kinds that are sampled because thousands
    /// may occur per second.
    pub fn flow(&self) -> Option<u64> {
        match self {
            Self::FlowOpened { flow }
            | Self::FlowClosed { flow, .. }
            | Self::FlowRefused { flow, .. } => Some(*flow),
            _ => None,
        }
    }

    /// The agent that the event is about, for events about another process.
    pub fn member(&self) -> Option<&Name> {
        match self {
            Self::MemberJoined { member }
            | Self::MemberLeaving { member }
            | Self::MemberSilent { member }
            | Self::MemberHeard { member }
            | Self::MemberGone { member } => Some(member),
            _ => None,
        }
    }

    /// Creates a draft about a service.
    pub fn with_service(self, service: &Name) -> Draft {
        Draft::from(self).with_service(service)
    }

    /// Creates a draft about a configuration revision.
    pub fn with_revision(self, revision: u64) -> Draft {
        Draft::from(self).with_revision(revision)
    }
}

labels! {
    /// The kind of an event without its details.
    Label {
        /// See [`Kind::ProcessStarted`].
        ProcessStarted = "process-started",
        /// See [`Kind::ProcessStopping`].
        ProcessStopping = "process-stopping",
        /// See [`Kind::ProcessStopped`].
        ProcessStopped = "process-stopped",
        /// See [`Kind::ConfigInForce`].
        ConfigInForce = "config-in-force",
        /// See [`Kind::ConfigRejected`].
        ConfigRejected = "config-rejected",
        /// See [`Kind::DomainOut`].
        DomainOut = "domain-out",
        /// See [`Kind::DomainBack`].
        DomainBack = "domain-back",
        /// See [`Kind::MemberJoined`].
        MemberJoined = "member-joined",
        /// See [`Kind::MemberLeaving`].
        MemberLeaving = "member-leaving",
        /// See [`Kind::MemberSilent`].
        MemberSilent = "member-silent",
        /// See [`Kind::MemberHeard`].
        MemberHeard = "member-heard",
        /// See [`Kind::MemberGone`].
        MemberGone = "member-gone",
        /// See [`Kind::BackendCold`].
        BackendCold = "backend-cold",
        /// See [`Kind::BackendWarm`].
        BackendWarm = "backend-warm",
        /// See [`Kind::DrainStarted`].
        DrainStarted = "drain-started",
        /// See [`Kind::DrainFinished`].
        DrainFinished = "drain-finished",
        /// See [`Kind::FlowOpened`].
        FlowOpened = "flow-opened",
        /// See [`Kind::FlowClosed`].
        FlowClosed = "flow-closed",
        /// See [`Kind::FlowRefused`].
        FlowRefused = "flow-refused",
        /// See [`Kind::RelayGained`].
        RelayGained = "relay-gained",
        /// See [`Kind::RelayLost`].
        RelayLost = "relay-lost",
        /// See [`Kind::KeysRotated`].
        KeysRotated = "keys-rotated",
        /// See [`Kind::StoreAway`].
        StoreAway = "store-away",
        /// See [`Kind::StoreBack`].
        StoreBack = "store-back",
    }
}

labels! {
    /// Role of a process.
    Role {
        /// Forwards datagrams.
        Balancer = "balancer",
        /// Serves flows for one backend server.
        Agent = "agent",
    }
}

labels! {
    /// Why a process stops.
    Stop {
        /// It received SIGTERM or SIGINT.
        Signal = "signal",
        /// It finished draining.
        Drained = "drained",
        /// It cannot continue.
        Fault = "fault",
    }
}

labels! {
    /// Why an agent drains.
    Drain {
        /// It received SIGTERM or SIGINT.
        Signal = "signal",
        /// The backend server requested it.
        BackendServer = "backend-server",
    }
}

labels! {
    /// How a drain ended.
    DrainEnd {
        /// All running requests finished.
        Complete = "complete",
        /// The template's time limit passed while requests were still running.
        Limit = "limit",
    }
}

labels! {
    /// How an agent detected that its backend server is cold.
    Evidence {
        /// The backend server was just started or just became known.
        Start = "start",
        /// A connection to it was closed or refused.
        Connection = "connection",
        /// Response times were far above the warm median.
        Slow = "slow",
        /// Requests were in flight for far longer than the warm median.
        Overdue = "overdue",
        /// Its health endpoint reported it.
        Health = "health",
        /// It was idle, so nothing indicates that it is still warm.
        Idle = "idle",
    }
}

labels! {
    /// Why a flow closed.
    Close {
        /// The caller closed it.
        Caller = "caller-closed",
        /// The agent drained.
        Drained = "drained",
        /// Operators took the agent's failure domain out of service.
        DomainOut = "domain-out",
        /// The agent stopped.
        AgentStopped = "agent-stopped",
        /// Nothing was received within the idle timeout.
        IdleTimeout = "idle-timeout",
        /// A stateless reset or a protocol error ended it.
        Reset = "reset",
    }
}

labels! {
    /// Why a flow was refused.
    Refusal {
        /// The agent has reached its limit of flows.
        Full = "full",
        /// The backend server is cold and its cold limit is reached.
        Cold = "cold",
        /// The agent is draining.
        Leaving = "leaving",
        /// The failure domain is out of service.
        DomainOut = "domain-out",
        /// The agent has no configuration for the service.
        NotServed = "not-served",
    }
}
