//! The nodes of the model and the backend servers.

use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;
use lentilreach_steer::process::agent::Agent;
use lentilreach_steer::process::backend::record::{Instance, Record};
use lentilreach_steer::process::balancer::Balancer;
use lentilreach_steer::process::roster::{Member, Role, Roster};
use lentilreach_steer::request::message::{Heartbeat, SyncStatus};
use lentilreach_steer::version::routing::Routing;

use crate::fixture;

/// The failure domain of all nodes.
pub const DOMAIN: &str = "a";

/// Distance between the first sequence numbers of backend servers. Further apart than the
/// bytes of a flow, so that acknowledgements tell backend servers apart.
const SEQUENCE_DISTANCE: u32 = 800_000_000;

/// Sequence number of the reports of a backend server that started long ago.
const LATE_REPORT: u64 = 1_000;

/// An agent and its backend server.
#[derive(Debug, Clone)]
pub struct AgentNode {
    /// Address of the agent.
    pub address: SocketAddrV4,
    /// Random number of the process.
    pub incarnation: u64,
    /// Sequence number of the last heartbeat.
    pub sequence: u32,
    /// Whether there is a process.
    pub is_present: bool,
    /// Whether the process stands still.
    pub is_frozen: bool,
    /// The decisions.
    pub agent: Agent,
    /// The members.
    pub roster: Roster,
    /// The backend server, a process of its own.
    pub server: Server,
    /// The instance of the backend server that the store names.
    pub stored: Option<Instance>,
    /// Announcements of an accepted flow are still to be made; only without the rule
    /// [`Removed::AnnounceBeforeAccept`].
    pub is_announcement_due: bool,
}

/// A backend server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Whether it runs.
    pub is_alive: bool,
    /// The service that it runs.
    pub service: &'static str,
    /// Number of this instance.
    pub lifetime: u8,
    /// Number of its last report.
    pub reports: u64,
    /// Its first sequence number in the flow.
    pub first: u32,
    /// What it knows of the flow.
    pub flow: Held,
    /// When it last received or accepted something of the flow.
    pub used_at: Millis,
}

/// What a backend server knows of the flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Held {
    /// Nothing.
    No,
    /// It has accepted the flow; the caller has not confirmed that.
    Accepted,
    /// The caller has confirmed it.
    Open,
}

/// A balancer.
#[derive(Debug, Clone)]
pub struct BalancerNode {
    /// Address of the balancer.
    pub address: SocketAddrV4,
    /// Random number of the process.
    pub incarnation: u64,
    /// Sequence number of the last heartbeat.
    pub sequence: u32,
    /// The decisions.
    pub balancer: Balancer,
    /// The members.
    pub roster: Roster,
}

impl AgentNode {
    /// Creates an agent, and a backend server that has just started if it is present.
    pub fn new(now: Millis, index: usize, is_present: bool) -> Self {
        let address = fixture::agent_address(index as u8 + 1);
        let server = Server {
            is_alive: is_present,
            service: fixture::CALENDAR,
            lifetime: 0,
            reports: 0,
            first: (index as u32 + 1).wrapping_mul(SEQUENCE_DISTANCE),
            flow: Held::No,
            used_at: now,
        };
        let mut node = Self {
            address,
            incarnation: 0,
            sequence: 0,
            is_present,
            is_frozen: false,
            agent: Agent::new(now, address, DOMAIN.into(), fixture::limits()),
            roster: Roster::new(),
            server,
            stored: None,
            is_announcement_due: false,
        };
        node.restart(now);
        node.is_present = is_present;
        if is_present {
            node.agent.record_absence(now);
            node.report(now);
            node.write_record(now);
            node.server.reports = LATE_REPORT;
        }
        node
    }

    /// Starts a new process of the agent.
    pub fn restart(&mut self, now: Millis) {
        self.incarnation += 100;
        fastrand::seed(self.incarnation);
        self.sequence = 0;
        self.is_present = true;
        self.is_frozen = false;
        self.is_announcement_due = false;
        self.agent = Agent::new(now, self.address, DOMAIN.into(), fixture::limits());
        self.roster = Roster::new();
    }

    /// Lets the store name the instance that has reported last, and tells the agent.
    pub fn write_record(&mut self, now: Millis) {
        let before = self.stored;
        self.stored = self.agent.instance().or(before);
        let (before, after): (Record, Record) = (before.into(), self.stored.into());
        self.agent.record_written(now, &fixture::routing(1), before, after);
    }

    /// Starts a new instance of the backend server.
    pub fn start_server(&mut self) {
        self.server.is_alive = true;
        self.server.lifetime += 1;
        self.server.reports = 0;
        self.server.end_flow();
    }
}

impl Server {
    /// Drops the flow. Another one begins at another sequence number.
    pub fn end_flow(&mut self) {
        self.flow = Held::No;
        self.first = self.first.wrapping_add(SEQUENCE_DISTANCE / 8);
    }
}

impl BalancerNode {
    /// Creates a balancer without members.
    pub fn new(now: Millis, index: usize, incarnation: u64) -> Self {
        Self {
            address: fixture::balancer_address(index as u8 + 1),
            incarnation,
            sequence: 0,
            balancer: Balancer::new(now, DOMAIN.into(), 1_000),
            roster: Roster::new(),
        }
    }
}

impl AgentNode {
    /// The synchronisation status to include in a heartbeat to a member.
    pub fn sync_status(&self, member: &Member) -> Option<SyncStatus> {
        let is_home = member.role == Role::Agent && member.incarnation != 0;
        is_home.then(|| self.agent.sync_status(&self.roster, member))
    }

    /// The next heartbeat.
    pub fn heartbeat(&mut self, now: Millis, routing: &Routing) -> Heartbeat<'static> {
        self.sequence += 1;
        Heartbeat {
            incarnation: self.incarnation,
            sequence: self.sequence,
            domain: DOMAIN.into(),
            revision: routing.revision,
            wants_reply: false,
            is_agent: true,
            backend_status: self.agent.backend_status(now, routing, 2),
            sync_status: None,
            load: None,
        }
    }

    /// A report of the backend server. Returns the number of flows that ended with the
    /// instance before.
    pub fn report(&mut self, now: Millis) -> usize {
        self.server.reports += 1;
        let mut report = fixture::report(self.server.reports);
        report.id = format!("{}-{}", self.address, self.server.lifetime).as_str().into();
        report.service = self.server.service.into();
        report.started_ms = Some(1_000 + u64::from(self.server.lifetime));
        let (_, ended) = self.agent.report(now, report);
        self.agent.confirm_service(&fixture::routing(1));
        ended.len()
    }
}

impl BalancerNode {
    /// The next heartbeat.
    pub fn heartbeat(&mut self) -> Heartbeat<'static> {
        self.sequence += 1;
        Heartbeat {
            incarnation: self.incarnation,
            ..fixture::balancer_heartbeat(self.sequence, DOMAIN)
        }
    }
}
