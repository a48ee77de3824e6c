//! The timeline: what changed in a process, when, and why.
//!
//! A decision returns a [`Draft`]; the front end gives it to a [`Recorder`] with the wall
//! time, which stamps and keeps it. The timelines of many processes are put together by
//! [`merge::merge`]. Events hold names, identifiers and labels only, never key material,
//! request contents or addresses of callers.

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
    /// When it was recorded. A cause has a lower stamp than its effect.
    pub stamp: Stamp,
    /// The process that recorded it.
    pub process: Name,
    /// The failure domain of that process.
    pub domain: Name,
    /// The service concerned, as `ORGANISATION/SERVICE`; none if it is not about one.
    pub service: Option<Name>,
    /// The configuration revision concerned; none if it is not about one.
    pub revision: Option<u64>,
    /// What happened.
    pub kind: Kind,
}

/// An event that has no stamp yet. Decisions return it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Draft {
    /// The service concerned.
    pub service: Option<Name>,
    /// The configuration revision concerned.
    pub revision: Option<u64>,
    /// What happened.
    pub kind: Kind,
}

impl Draft {
    /// Names the service concerned.
    pub fn of(mut self, service: &Name) -> Self {
        self.service = Some(service.clone());
        self
    }

    /// Names the configuration revision concerned.
    pub fn under(mut self, revision: u64) -> Self {
        self.revision = Some(revision);
        self
    }
}

impl From<Kind> for Draft {
    fn from(kind: Kind) -> Self {
        Self { service: None, revision: None, kind }
    }
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// The process started.
    ProcessStarted {
        /// What the process does.
        role: Role,
        /// Its incarnation.
        node: node::Id,
    },
    /// The process began a graceful shutdown.
    ProcessStopping {
        /// Why it stops.
        cause: Stop,
    },
    /// The process ended its graceful shutdown.
    ProcessStopped,
    /// The event's configuration revision is in force.
    ConfigInForce,
    /// A configuration value was rejected; the previous one stays in force.
    ConfigRejected {
        /// The store key of the value.
        entry: Name,
        /// What is wrong with it, without the value itself.
        reason: Name,
    },
    /// The process learned that a failure domain is out.
    DomainOut {
        /// The failure domain.
        affected: Name,
    },
    /// The process learned that a failure domain is back.
    DomainBack {
        /// The failure domain.
        affected: Name,
    },
    /// An agent was heard for the first time.
    MemberJoined {
        /// The agent's process, or its node identifier while the name is unknown.
        member: Name,
    },
    /// An agent announced its drain.
    MemberLeaving {
        /// As in [`Kind::MemberJoined`].
        member: Name,
    },
    /// An agent is silent: it gets no new flows.
    MemberSilent {
        /// As in [`Kind::MemberJoined`].
        member: Name,
    },
    /// A silent agent was heard again.
    MemberHeard {
        /// As in [`Kind::MemberJoined`].
        member: Name,
    },
    /// An agent left or was forgotten.
    MemberGone {
        /// As in [`Kind::MemberJoined`].
        member: Name,
    },
    /// The backend server is cold: the agent limits its load.
    BackendCold {
        /// How the agent noticed.
        evidence: Evidence,
    },
    /// The backend server is warm again.
    BackendWarm,
    /// The agent began to drain.
    DrainStarted {
        /// Why it drains.
        cause: Drain,
    },
    /// The agent ended its drain.
    DrainFinished {
        /// How the drain ended.
        end: DrainEnd,
    },
    /// The agent admitted a flow. Sampled.
    FlowOpened {
        /// Identifies the flow in this process, the same at its opening and its closing.
        flow: u64,
    },
    /// A flow of the agent closed. Sampled.
    FlowClosed {
        /// As in [`Kind::FlowOpened`].
        flow: u64,
        /// Why it closed.
        cause: Close,
    },
    /// The agent refused a flow as the last candidate. Sampled.
    FlowRefused {
        /// As in [`Kind::FlowOpened`].
        flow: u64,
        /// Why it was refused.
        why: Refusal,
    },
    /// The process obtained a relay slot of its failure domain.
    RelayGained {
        /// The slot's number.
        slot: u8,
    },
    /// The process lost a relay slot.
    RelayLost {
        /// The slot's number.
        slot: u8,
    },
    /// A new key ring is in use.
    KeysRotated {
        /// Identifier of the key for new tokens and messages. Not secret.
        key: u8,
    },
    /// The store does not respond.
    StoreAway,
    /// The store responds again.
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

    /// The flow, for kinds that there may be thousands of in a second.
    pub fn flow(&self) -> Option<u64> {
        match self {
            Self::FlowOpened { flow }
            | Self::FlowClosed { flow, .. }
            | Self::FlowRefused { flow, .. } => Some(*flow),
            _ => None,
        }
    }

    /// The agent that the event is about, if that is not the recording process.
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

    /// Names the service concerned.
    pub fn of(self, service: &Name) -> Draft {
        Draft::from(self).of(service)
    }

    /// Names the configuration revision concerned.
    pub fn under(self, revision: u64) -> Draft {
        Draft::from(self).under(revision)
    }
}

labels! {
    /// A kind of event without its fields.
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
    /// What a process does.
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
        /// Its drain ended.
        Drained = "drained",
        /// It cannot go on.
        Fault = "fault",
    }
}

labels! {
    /// Why an agent drains.
    Drain {
        /// It received SIGTERM or SIGINT.
        Signal = "signal",
        /// The backend server asked for it.
        BackendServer = "backend-server",
    }
}

labels! {
    /// How a drain ended.
    DrainEnd {
        /// All running requests finished.
        Complete = "complete",
        /// The template's limit passed with requests still running.
        Limit = "limit",
    }
}

labels! {
    /// How an agent noticed that its backend server is cold.
    Evidence {
        /// The backend server was just started or announced.
        Start = "start",
        /// A connection to it was closed or refused.
        Connection = "connection",
        /// Response times far over the warm median.
        Slow = "slow",
        /// Requests in flight for far longer than the warm median.
        Overdue = "overdue",
        /// Its health endpoint says so.
        Health = "health",
        /// It was idle, so nothing shows that it is still warm.
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
        /// Operators took the failure domain out of service.
        DomainOut = "domain-out",
        /// The agent stopped.
        AgentStopped = "agent-stopped",
        /// Nothing was received for the idle timeout.
        IdleTimeout = "idle-timeout",
        /// A stateless reset or a protocol error ended it.
        Reset = "reset",
    }
}

labels! {
    /// Why a flow was refused.
    Refusal {
        /// The agent has as many flows as it may have.
        Full = "full",
        /// The backend server is cold and its cold limit is reached.
        Cold = "cold",
        /// The agent drains.
        Leaving = "leaving",
        /// The failure domain is out.
        DomainOut = "domain-out",
        /// The agent has no configuration for the service.
        NotServed = "not-served",
    }
}
