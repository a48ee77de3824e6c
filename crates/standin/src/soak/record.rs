//! What callers and backend servers observe during a run.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Instant;

use lentilreach_steer::connection::flow;
use parking_lot::Mutex;

/// Number of a lifetime of a backend server, unique in a run.
pub type Lifetime = u32;

/// An observation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fact {
    /// A backend server started.
    Started {
        /// Its lifetime.
        server: Lifetime,
        /// Its number, which is that of its agent.
        number: u8,
        /// Its service.
        service: &'static str,
    },
    /// A backend server is gone, with all its flows.
    Ended {
        /// Its lifetime.
        server: Lifetime,
    },
    /// An agent acknowledged the report that a backend server is draining.
    Draining {
        /// The lifetime of the backend server.
        server: Lifetime,
    },
    /// A backend server got the opening segment of a flow that it didn't hold.
    Accepted {
        /// Its lifetime.
        server: Lifetime,
        /// The flow.
        flow: flow::Key,
    },
    /// A backend server got another segment.
    Delivered {
        /// Its lifetime.
        server: Lifetime,
        /// The flow.
        flow: flow::Key,
    },
    /// A backend server reset a flow.
    ServerReset {
        /// Its lifetime.
        server: Lifetime,
        /// The flow.
        flow: flow::Key,
    },
    /// A backend server ran a request.
    Ran {
        /// Its lifetime.
        server: Lifetime,
        /// The flow.
        flow: flow::Key,
        /// The request.
        request: u64,
    },
    /// The store accepted that a failure domain is out of service, or back in service.
    Evacuated {
        /// The domain.
        domain: &'static str,
        /// Whether it is out of service.
        is_out: bool,
    },
    /// A caller sent the opening segment of a flow, or a copy, through a balancer.
    Opening {
        /// The flow.
        flow: flow::Key,
        /// The balancer.
        via: SocketAddr,
    },
    /// An opening was refused or not answered.
    NotOpened {
        /// The flow.
        flow: flow::Key,
    },
    /// A caller learned that its flow is open.
    Opened {
        /// The flow.
        flow: flow::Key,
        /// The backend server that accepted it first.
        server: Lifetime,
    },
    /// A caller's open flow was reset.
    Reset {
        /// The flow.
        flow: flow::Key,
        /// The sender of the reset.
        from: SocketAddr,
    },
    /// A caller closed its flow or gave it up since its backend server is gone.
    Closed {
        /// The flow.
        flow: flow::Key,
    },
    /// A caller sent a request for the first time.
    Sent {
        /// The flow.
        flow: flow::Key,
        /// The request.
        request: u64,
    },
    /// A caller got the answer of its request.
    Answered {
        /// The flow.
        flow: flow::Key,
        /// The request.
        request: u64,
    },
    /// A caller got an answer that isn't for one of its requests.
    Strayed {
        /// The flow that the answer names.
        flow: flow::Key,
        /// The sender.
        from: SocketAddr,
        /// The caller that got it.
        caller: SocketAddr,
    },
    /// The store accepted a configuration.
    Configured {
        /// Its version.
        version: u64,
        /// Services by address.
        routes: Vec<(SocketAddrV4, Vec<&'static str>)>,
    },
    /// A fault began or ended.
    Fault {
        /// What it is.
        what: String,
        /// Whether the store, or the node whose machine has this number, can't act.
        scope: Scope,
        /// Whether it began.
        begins: bool,
    },
}

/// What a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// The store.
    Store,
    /// A balancer.
    Balancer(SocketAddr),
    /// An agent.
    Agent(u8),
    /// A backend server.
    Server(u8),
}

/// An observation and its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Milliseconds since the start of the run.
    pub at_ms: u64,
    /// The observation.
    pub fact: Fact,
}

/// Collects observations. Clones share them.
#[derive(Debug, Clone)]
pub struct Record {
    /// Start of the run.
    start: Instant,
    /// Observations in the order of their times.
    events: Arc<Mutex<Vec<Event>>>,
    /// Lifetimes of backend servers that have not ended.
    living: Arc<Mutex<Vec<Lifetime>>>,
    /// Who accepted a flow with which first sequence number, sorted.
    accepted: Arc<Mutex<Vec<(flow::Key, u32, Lifetime)>>>,
}

impl Record {
    /// Creates an empty record that starts now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            events: Arc::default(),
            living: Arc::default(),
            accepted: Arc::default(),
        }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Adds an observation.
    pub fn add(&self, fact: Fact) {
        match fact {
            Fact::Started { server, .. } => self.living.lock().push(server),
            Fact::Ended { server } => self.living.lock().retain(|other| *other != server),
            _ => {}
        }
        // The time is taken under the lock, so that the events are in the order of time.
        let mut events = self.events.lock();
        let at_ms = self.now_ms();
        events.push(Event { at_ms, fact });
    }

    /// Whether a lifetime of a backend server has not ended.
    pub fn is_living(&self, server: Lifetime) -> bool {
        self.living.lock().contains(&server)
    }

    /// Notes which backend server accepts a flow with a first sequence number.
    pub fn register(&self, flow: flow::Key, first: u32, server: Lifetime) {
        let mut accepted = self.accepted.lock();
        let index = accepted.partition_point(|entry| *entry < (flow, first, server));
        accepted.insert(index, (flow, first, server));
    }

    /// The backend server that accepted a flow with a first sequence number.
    pub fn server(&self, flow: flow::Key, first: u32) -> Option<Lifetime> {
        let accepted = self.accepted.lock();
        let index = accepted.partition_point(|(f, s, _)| (*f, *s) < (flow, first));
        let entry = accepted.get(index).filter(|(f, s, _)| (*f, *s) == (flow, first));
        entry.map(|(_, _, server)| *server)
    }

    /// The observations so far.
    pub fn events(&self) -> Vec<Event> {
        self.events.lock().clone()
    }
}

impl Default for Record {
    fn default() -> Self {
        Self::new()
    }
}
