//! A node of the system as this node sees it.

use std::net::SocketAddrV4;

use lentilreach::Name;
use lentilreach::process::clock::Millis;

use super::estimate::Placed;
use super::view::Element;
use crate::request::message::{BackendStatus, Load, Stage, SyncStatus};

/// A node of the system.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Address at which it receives messages.
    pub address: SocketAddrV4,
    /// Its incarnation; 0 until its first heartbeat arrives.
    pub incarnation: u64,
    /// Incarnation of the process that it replaced; 0 if there is none. Heartbeats of that
    /// one were delayed.
    pub(super) replaced: u64,
    /// Sequence number of its last heartbeat.
    pub sequence: u32,
    /// Its function.
    pub role: Role,
    /// Its failure domain.
    pub domain: Name,
    /// State of its backend server; `None` for a balancer, and until the backend server
    /// reports.
    pub backend_status: Option<BackendStatus<'static>>,
    /// When its last heartbeat arrived or, without one, when it was added.
    pub last_heard: Millis,
    /// Whether its heartbeats are overdue. Also set until its first heartbeat arrives.
    pub is_silent: bool,
    /// When it joined or, if it was silent after that, returned.
    pub(super) heard_since: Millis,
    /// Estimated number of its open flows at `estimated_at`.
    pub(super) open: f64,
    /// When its last heartbeat arrived or a flow was last placed on it.
    pub(super) estimated_at: Millis,
    /// Mean lifetime of its flows for the estimate, in milliseconds; 0 if it is unknown.
    /// Not below the mean of its service: flows that end early because the backend server
    /// fails must not make it seem idle.
    pub(super) lifetime_ms: u32,
    /// Which announcements it has exchanged with this node, as it last reported; set if
    /// both are agents.
    pub sync_status: Option<SyncStatus>,
    /// What its backend server has to do; `None` if it doesn't state that.
    pub load: Option<Load>,
    /// Requests that this node has placed on it.
    pub(super) placed: Placed,
    /// Mean time that a request of its service takes, in milliseconds.
    pub(super) service_request_ms: Option<f64>,
    /// Whether the backend servers of its service differ in speed.
    pub(super) is_service_uneven: bool,
}

/// The function of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Receives segments from callers.
    Balancer,
    /// Runs next to a backend server.
    Agent,
}

impl Member {
    /// Estimated number of open flows per slot: those of the last heartbeat and those
    /// placed since, less those that have ended meanwhile.
    pub fn load(&self, now: Millis) -> f64 {
        let Some(backend_status) = &self.backend_status else { return f64::INFINITY };
        self.open_at(now) / f64::from(backend_status.slots.max(1))
    }

    /// Estimated number of open flows. Flows end at a rate given by their mean lifetime.
    /// Without that, flows that are shorter than the interval between heartbeats would
    /// add up, and the agent with the latest heartbeat would get all flows.
    pub(super) fn open_at(&self, now: Millis) -> f64 {
        if self.lifetime_ms == 0 {
            return self.open;
        }
        let age = now.since(self.estimated_at) as f64 / f64::from(self.lifetime_ms);
        self.open * (-age).exp()
    }

    /// Its address and its incarnation.
    pub(super) fn element(&self) -> Element {
        (self.address, self.incarnation)
    }

    /// Whether its backend server resets or leaves unanswered much of what it gets.
    pub fn is_failing(&self) -> bool {
        self.backend_status.as_ref().is_some_and(|status| status.is_failing)
    }

    /// Whether its backend server accepts new flows; `None` without a backend server.
    pub fn stage(&self) -> Option<Stage> {
        self.backend_status.as_ref().map(|backend_status| backend_status.stage)
    }
}
