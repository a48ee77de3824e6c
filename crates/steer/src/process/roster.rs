//! The members of the system as this node sees them.

use std::net::SocketAddrV4;

use lentilreach::Name;
use lentilreach::process::clock::Millis;

use crate::request::message::{BackendStatus, Heartbeat};

mod estimate;
mod member;
pub mod membership;
pub mod view;

pub use member::{Member, Role};

use estimate::{Placed, ServiceLoad};
use view::View;

/// Interval between heartbeats of a node, in milliseconds. It determines how soon a lost
/// member is noticed ([`SILENT_MS`]), and each heartbeat causes traffic between failure
/// domains.
pub const HEARTBEAT_INTERVAL_MS: u64 = 1_000;

/// Time without heartbeats after which a member is considered silent, in milliseconds:
/// two lost heartbeats and half an interval of delay.
pub const SILENT_MS: u64 = 2_500;

/// Time within which a new member must answer, in milliseconds. It covers [`PROBES`]
/// probes and the response time of a process on a slow machine.
pub const JOIN_TIMEOUT_MS: u64 = 1_200;

/// Number of heartbeats that are requested from a new member. Links lose up to one
/// datagram in 40.
pub const PROBES: u32 = 3;

/// Interval between these probes, in milliseconds.
pub const PROBE_INTERVAL_MS: u64 = 300;

/// Time without heartbeats after which a member is removed, in milliseconds. No flow
/// lives longer.
pub const REMOVAL_MS: u64 = 60_000;

/// Time within which other nodes notice that an agent has left or joined, in milliseconds:
/// until they consider it silent and their next heartbeats reflect that.
const VIEW_CHANGE_MS: u64 = 2 * SILENT_MS;

/// The members known to a node.
#[derive(Debug, Default, Clone)]
pub struct Roster {
    /// Sorted by address, without duplicates.
    members: Vec<Member>,
    /// Incremented when an agent joins, leaves, becomes silent or returns.
    generation: u64,
    /// Hash of the set of live agents. Only changes together with the generation.
    view_hash: u32,
    /// Agents that left recently.
    left: Vec<Left>,
    /// What agents state about their services. Sorted by name.
    services: Vec<ServiceLoad>,
    /// Changes of whether the backend servers of a service differ in speed.
    speed_changes: Vec<(Name, bool)>,
}

/// An agent that has left.
#[derive(Debug, Clone, Copy)]
struct Left {
    /// Its address.
    address: SocketAddrV4,
    /// Its incarnation.
    incarnation: u64,
    /// When its last heartbeat arrived.
    last_heard: Millis,
}

/// What a node knows of the agents, for log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Summary {
    /// Number of agents that are heard.
    pub live: usize,
    /// Number of agents whose heartbeats are overdue.
    pub silent: usize,
    /// Number of listed agents that have never sent a heartbeat.
    pub unheard: usize,
    /// Hash of the set of live agents.
    pub view_hash: u32,
}

/// The effect of a heartbeat on the roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The member is new or was restarted.
    Joined,
    /// A silent member returned.
    Back,
    /// The stage of its backend server changed.
    Stage,
    /// No change that affects decisions.
    None,
}

/// A heartbeat was ignored because a later one has already arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outdated;

impl Roster {
    /// Creates an empty roster.
    pub fn new() -> Self {
        Self::default()
    }

    /// Incremented when an agent joins, leaves, becomes silent or returns.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The member with an address.
    pub fn get(&self, address: SocketAddrV4) -> Option<&Member> {
        self.find(address).ok().map(|index| &self.members[index])
    }

    /// All members, sorted by address.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// All agents, sorted by address.
    pub fn agents(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.role == Role::Agent)
    }

    /// Whether the heartbeats of all known agents arrive.
    pub fn hears_all(&self) -> bool {
        self.agents().all(|member| !member.is_silent)
    }

    /// Whether an agent is known and its heartbeats arrive.
    pub fn is_heard(&self, address: SocketAddrV4) -> bool {
        self.get(address).is_some_and(|member| !member.is_silent)
    }

    /// All agents that other nodes may have in their rosters: live ones, silent ones, and
    /// those that left recently.
    pub fn known_agents(&self) -> impl Iterator<Item = SocketAddrV4> {
        let left = self.left.iter().map(|left| left.address);
        self.agents().map(|member| member.address).chain(left)
    }

    /// The sets of agents that other nodes may hear if they hear none that is unknown to
    /// this node, whose address is `own`.
    pub fn view(&self, now: Millis, own: SocketAddrV4) -> View {
        let heard = || self.agents().filter(|member| !member.is_silent);
        let silent = self.agents().filter(|member| member.is_silent);
        let left = self.left.iter().map(|left| (left.address, left.incarnation));
        let recent = heard().filter(|member| {
            member.address != own && now.since(member.heard_since) <= VIEW_CHANGE_MS
        });
        View::new(
            heard().map(Member::element),
            left.chain(silent.map(Member::element)),
            recent.map(Member::element),
        )
    }

    /// Counts the agents by what is known of them.
    pub fn summary(&self) -> Summary {
        let (mut live, mut silent, mut unheard) = (0, 0, 0);
        for member in self.agents() {
            match () {
                () if !member.is_silent => live += 1,
                () if member.incarnation == 0 => unheard += 1,
                () => silent += 1,
            }
        }
        Summary { live, silent, unheard, view_hash: self.view_hash }
    }

    /// Hash of the set of live agents. Nodes with the same hash select the same home nodes.
    pub fn view_hash(&self) -> u32 {
        self.view_hash
    }

    /// The members that have never sent a heartbeat.
    pub fn unheard(&self) -> Vec<SocketAddrV4> {
        let unheard = self.members.iter().filter(|member| member.incarnation == 0);
        unheard.map(|member| member.address).collect()
    }

    /// Number of live balancers in a failure domain.
    pub fn balancers(&self, domain: &str) -> u32 {
        let is_counted = |member: &&Member| {
            member.role == Role::Balancer
                && !member.is_silent
                && *member.domain == *domain
        };
        self.members.iter().filter(is_counted).count() as u32
    }

    /// Whether most agents are silent. It is more likely that this node is cut off than
    /// that all of them failed.
    pub fn is_isolated(&self) -> bool {
        let silent = self.agents().filter(|member| member.is_silent).count();
        silent * 2 > self.agents().count()
    }

    /// Adds a member that is listed in the store. Returns whether it is new.
    ///
    /// It counts as silent until its first heartbeat arrives. One that has just left is not
    /// added: the list may still name it.
    pub fn insert_unheard(
        &mut self,
        now: Millis,
        address: SocketAddrV4,
        role: Role,
        domain: Name,
    ) -> bool {
        let Err(index) = self.find(address) else { return false };
        if self.left.iter().any(|left| left.address == address) {
            return false;
        }
        self.insert(index, now, address, role, domain);
        true
    }

    /// Adds a member that has not been heard.
    fn insert(
        &mut self,
        index: usize,
        now: Millis,
        address: SocketAddrV4,
        role: Role,
        domain: Name,
    ) {
        let member = Member {
            address,
            incarnation: 0,
            replaced: 0,
            sequence: 0,
            role,
            domain,
            backend_status: None,
            last_heard: now,
            is_silent: true,
            heard_since: now,
            open: 0.0,
            estimated_at: now,
            lifetime_ms: 0,
            sync_status: None,
            load: None,
            placed: Placed::default(),
            service_request_ms: None,
            is_service_uneven: false,
        };
        self.members.insert(index, member);
    }

    /// Removes members that have never sent a heartbeat and are no longer listed in the
    /// store. They must not keep other flows from being searched for everywhere.
    pub fn remove_unlisted(&mut self, listed: &[SocketAddrV4]) {
        let is_kept =
            |member: &Member| member.incarnation != 0 || listed.contains(&member.address);
        self.members.retain(is_kept);
    }

    /// Processes a heartbeat.
    ///
    /// # Errors
    /// If a later heartbeat has already arrived, or if its sender has been replaced or has
    /// left.
    pub fn record_heartbeat(
        &mut self,
        now: Millis,
        from: SocketAddrV4,
        heartbeat: &Heartbeat<'_>,
    ) -> Result<Change, Outdated> {
        let role = if heartbeat.is_agent { Role::Agent } else { Role::Balancer };
        let left = self.left.iter().position(|left| left.address == from);
        let left_incarnation = left.map_or(0, |index| self.left[index].incarnation);
        if left_incarnation == heartbeat.incarnation {
            return Err(Outdated);
        }
        if let Some(index) = left {
            self.left.remove(index);
        }
        let index = match self.find(from) {
            Ok(index) => index,
            Err(index) => {
                self.insert(index, now, from, role, heartbeat.domain.as_ref().into());
                index
            }
        };
        let member = &mut self.members[index];
        let is_new = member.incarnation != heartbeat.incarnation;
        let is_late = if is_new {
            heartbeat.incarnation == member.replaced
        } else {
            heartbeat.sequence <= member.sequence
        };
        if is_late {
            return Err(Outdated);
        }
        let change = match () {
            () if is_new => Change::Joined,
            () if member.is_silent => Change::Back,
            () if member.stage()
                != heartbeat.backend_status.as_ref().map(|o| o.stage) =>
            {
                Change::Stage
            }
            () => Change::None,
        };
        let is_view_changed = (member.is_silent || is_new) && role == Role::Agent;
        if member.is_silent {
            member.heard_since = now;
        }
        if is_new || heartbeat.sync_status.is_some() {
            member.sync_status = heartbeat.sync_status;
        }
        member.role = role;
        if is_new {
            member.placed = Placed::default();
            member.replaced = member.incarnation.max(left_incarnation);
        }
        member.incarnation = heartbeat.incarnation;
        member.sequence = heartbeat.sequence;
        member.last_heard = now;
        member.is_silent = false;
        member.open = f64::from(heartbeat.backend_status.as_ref().map_or(0, |b| b.open));
        member.estimated_at = now;
        if *member.domain != *heartbeat.domain {
            member.domain = heartbeat.domain.as_ref().into();
        }
        member.backend_status =
            heartbeat.backend_status.as_ref().map(BackendStatus::to_owned);
        let is_floor_changed = member.load.as_ref().and_then(|load| load.floor)
            != heartbeat.load.as_ref().and_then(|load| load.floor);
        member.load = heartbeat.load.clone();
        member.observe_load();
        if is_view_changed {
            self.update_view();
        }
        if is_floor_changed {
            self.update_services();
        }
        Ok(change)
    }

    /// Counts a flow that a balancer placed on an agent. Assumes that the other balancers
    /// of the agent's failure domain place as many, since routers distribute flows evenly
    /// among them.
    pub fn record_placement(&mut self, now: Millis, address: SocketAddrV4) {
        let balancers = self.get(address).and_then(|member| {
            member.backend_status.as_ref().map(|backend_status| backend_status.balancers)
        });
        self.add_flows(now, address, balancers.unwrap_or(1).max(1));
    }

    /// Counts an opening that an agent offered to another one.
    pub fn record_offer(&mut self, now: Millis, address: SocketAddrV4) {
        self.add_flows(now, address, 1);
    }

    /// Adds a number of flows to the estimate for an agent.
    fn add_flows(&mut self, now: Millis, address: SocketAddrV4, flows: u32) {
        let Ok(index) = self.find(address) else { return };
        let member = &mut self.members[index];
        member.open = member.open_at(now) + f64::from(flows);
        member.estimated_at = now;
        if let Some(request_ms) = member.request_ms() {
            member.placed.add(now, f64::from(flows), request_ms);
        }
    }

    /// Removes a member that announced its departure. Returns whether this incarnation of
    /// it was known.
    pub fn remove(&mut self, address: SocketAddrV4, incarnation: u64) -> bool {
        let Ok(index) = self.find(address) else { return false };
        if self.members[index].incarnation != incarnation {
            return false;
        }
        let member = self.members.remove(index);
        if member.role == Role::Agent {
            let last_heard = member.last_heard;
            self.left.push(Left { address, incarnation, last_heard });
        }
        self.update_view();
        true
    }

    /// Marks members with overdue heartbeats as silent and returns their addresses.
    /// Removes members that have been silent for too long.
    pub fn tick(&mut self, now: Millis) -> Vec<SocketAddrV4> {
        let mut silent = Vec::new();
        for member in &mut self.members {
            if !member.is_silent && now.since(member.last_heard) > SILENT_MS {
                member.is_silent = true;
                silent.push(member.address);
            }
        }
        self.update_lifetimes();
        self.update_services();
        self.left.retain(|left| now.since(left.last_heard) <= VIEW_CHANGE_MS);
        let before = self.members.len();
        self.members.retain(|member| now.since(member.last_heard) <= REMOVAL_MS);
        if !silent.is_empty() || self.members.len() != before {
            self.update_view();
        }
        silent
    }

    /// Updates the lifetimes of flows from the last heartbeats.
    fn update_lifetimes(&mut self) {
        // Sum and number of known lifetimes by service, sorted by service.
        let mut means: Vec<(Name, u64, u64)> = Vec::new();
        for status in self.members.iter().filter_map(|m| m.backend_status.as_ref()) {
            if status.lifetime_ms == 0 {
                continue;
            }
            let found =
                means.binary_search_by(|(name, ..)| (**name).cmp(&status.service));
            let index = found.unwrap_or_else(|index| {
                means.insert(index, (status.service.as_ref().into(), 0, 0));
                index
            });
            means[index].1 += u64::from(status.lifetime_ms);
            means[index].2 += 1;
        }
        for member in &mut self.members {
            let Some(status) = &member.backend_status else { continue };
            let found =
                means.binary_search_by(|(name, ..)| (**name).cmp(&status.service));
            let mean = found.map_or(0, |index| means[index].1 / means[index].2);
            member.lifetime_ms = status.lifetime_ms.max(mean as u32);
        }
    }

    /// Updates the generation and the hash after the set of live agents has changed.
    fn update_view(&mut self) {
        self.generation += 1;
        let heard = self.agents().filter(|member| !member.is_silent);
        self.view_hash = view::hash(heard.map(Member::element));
    }

    /// The index of an address, or the index at which to insert it.
    fn find(&self, address: SocketAddrV4) -> Result<usize, usize> {
        self.members.binary_search_by_key(&address, |member| member.address)
    }
}
