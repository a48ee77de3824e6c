//! State that the drivers of both daemons share: tables, heartbeats and membership.

use std::borrow::Cow;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use async_channel::{Receiver, Sender};
use lentilreach::process::clock::{Clock, Millis};
use lentilreach::process::link::Link;
use lentilreach::process::lock::Ranked;
use lentilreach::process::store::{Range, Revision};
use lentilreach::process::tables;

use super::traffic::Traffic;
use super::{send_datagram, sleep};
use crate::connection::flow;
use crate::process::backend::record::Heard;
use crate::process::documents::share::Assembly;
use crate::process::metric;
use crate::process::pause::Pause;
use crate::process::roster::{
    Change, HEARTBEAT_INTERVAL_MS, Member, Outdated, Role, Roster,
};
use crate::process::settings;
use crate::request::message::{BackendStatus, Heartbeat, Load, Message, SyncStatus};
use crate::version::routing::Routing;

mod documents;

use documents::Shared;

/// Maximum time for which segments wait until a starting process is ready, in
/// milliseconds. Callers give up after 1,400 ms.
const READY_WAIT_MS: u64 = 1_200;

/// Number of heartbeats of a balancer of which one goes to agents in other failure domains.
/// Agents only need the others of balancers in their own one, which they count.
const FOREIGN_ROUNDS: u32 = 10;

/// Interval between checks whether the process is ready, in milliseconds.
const READY_POLL_MS: u64 = 10;

/// External dependencies of a process.
#[derive(Debug, Clone)]
pub struct Dependencies<S, D> {
    /// The store.
    pub store: S,
    /// Decodes the operators' documents.
    pub source: D,
}

/// What an agent states of its backend server.
#[derive(Debug, Default, Clone)]
pub struct Stated {
    /// Its state; `None` until it has reported.
    pub status: Option<BackendStatus<'static>>,
    /// What it has to do; `None` if the settings say that it isn't stated.
    pub load: Option<Load>,
}

/// A change to the operators' documents that another node has reported.
#[derive(Debug, Default, Clone, Copy)]
struct Newest {
    /// Its revision.
    revision: Revision,
    /// The node in this failure domain that reported it first; `None` if it is in another one.
    source: Option<SocketAddrV4>,
}

/// The part of a daemon's state that both roles have.
#[derive(Debug)]
pub struct Node<L> {
    /// Its settings.
    pub settings: settings::Node,
    /// Source of the current time.
    pub clock: Clock,
    /// Socket for messages from and to other nodes.
    pub link: L,
    /// The active routing.
    pub routing: Ranked<Arc<Routing>>,
    /// The known members.
    pub roster: Ranked<Roster>,
    /// What heartbeats state of the backend server; nothing for a balancer.
    pub stated: Ranked<Stated>,
    /// Revision of the last change to the operators' documents that was read.
    pub revision: Ranked<Revision>,
    /// The newest change to the documents that another node has reported.
    newest: Ranked<Newest>,
    /// Bytes sent to other nodes.
    pub traffic: Traffic,
    /// Detects that the process was paused.
    pause: Ranked<Pause>,
    /// The documents to send to other nodes.
    shared: Ranked<Shared>,
    /// Documents that are arriving from another node.
    assembly: Ranked<Assembly>,
    /// Documents that have arrived from another node.
    documents: (Sender<Range>, Receiver<Range>),
    /// Whether the list of members has been read since the start.
    has_read_members: AtomicBool,
    /// Whether the process was asked to stop.
    pub is_stopping: AtomicBool,
    /// Whether the node has announced its final departure. It sends no heartbeats after
    /// that.
    has_left: AtomicBool,
    /// Random number that identifies this run of the process.
    incarnation: u64,
    /// Sequence number of the last heartbeat.
    sequence: AtomicU32,
    /// Number of heartbeats sent to members.
    rounds: AtomicU32,
    /// Signals to the document follower that another node knows newer documents.
    newer_signal: (Sender<()>, Receiver<()>),
    /// The instance of the backend server that has reported last.
    heard: Ranked<Option<Heard>>,
    /// Signals to the registration that another instance has reported, or that the store has
    /// come back from a copy.
    registration_signal: (Sender<()>, Receiver<()>),
    /// Signals to the registration that the node is leaving for good.
    leave_signal: (Sender<()>, Receiver<()>),
}

impl<L: Link> Node<L> {
    /// Creates a node without routing and members.
    pub fn new(settings: settings::Node, link: L) -> Arc<Self> {
        let clock = Clock::new();
        let pause = Pause::new(clock.now(), HEARTBEAT_INTERVAL_MS);
        Arc::new(Self {
            settings,
            clock,
            traffic: Traffic::default(),
            pause: Ranked::new(tables::EVENTS, pause),
            link,
            routing: Ranked::new(tables::CONFIG, Arc::default()),
            roster: Ranked::new(tables::MEMBERS, Roster::new()),
            stated: Ranked::new(tables::SLOTS, Stated::default()),
            revision: Ranked::new(tables::LEDGER, Revision::default()),
            newest: Ranked::new(tables::VIEW, Newest::default()),
            shared: Ranked::new(tables::KEYS, Shared::default()),
            assembly: Ranked::new(tables::DIRECTORY, Assembly::default()),
            documents: async_channel::bounded(1),
            has_read_members: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            has_left: AtomicBool::new(false),
            incarnation: fastrand::u64(1..),
            sequence: AtomicU32::new(0),
            rounds: AtomicU32::new(0),
            newer_signal: async_channel::bounded(1),
            heard: Ranked::new(tables::SLOTS, None),
            registration_signal: async_channel::bounded(1),
            leave_signal: async_channel::bounded(1),
        })
    }

    /// The current time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The active routing.
    pub fn routing(&self) -> Arc<Routing> {
        self.routing.read().clone()
    }

    /// Whether the process was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Whether the process is ready to forward segments.
    ///
    /// # Errors
    /// If it is not ready. The error is a sentence for operators that states the reason.
    pub fn ready(&self) -> Result<(), String> {
        if self.is_stopping() {
            return Err("the process stops".into());
        }
        if !self.routing.read().is_loaded() {
            return Err("no configuration has been read".into());
        }
        // Without the list, a single heartbeat would make all agents seem to be heard.
        if !self.has_read_members.load(Ordering::Relaxed) {
            return Err("the list of members has not been read".into());
        }
        let roster = self.roster.read();
        if roster.is_isolated() || roster.agents().next().is_none() {
            return Err("most agents are silent".into());
        }
        Ok(())
    }

    /// Records that the roster contains the listed members.
    pub fn record_members_read(&self) {
        self.has_read_members.store(true, Ordering::Relaxed);
    }

    /// Waits until the process is ready, for a limited time. Segments remain in the
    /// socket's buffer meanwhile; if they were dropped, callers would retransmit them
    /// only after hundreds of milliseconds.
    pub async fn wait_until_ready(&self) {
        let start = self.now();
        while self.ready().is_err() && self.now().since(start) < READY_WAIT_MS {
            sleep(READY_POLL_MS).await;
        }
    }

    /// Waits until the list of members has been read, for a limited time.
    pub async fn wait_for_members(&self) {
        let start = self.now();
        while !self.has_read_members.load(Ordering::Relaxed)
            && self.now().since(start) < READY_WAIT_MS
        {
            sleep(READY_POLL_MS).await;
        }
    }

    /// Sends a message to another node.
    pub fn send(&self, to: SocketAddrV4, message: &Message<'_>) {
        let bytes = message.encode();
        self.traffic.record(message, bytes.len());
        send_datagram(&self.link, SocketAddr::V4(to), &bytes);
    }

    /// Address at which the caller of a flow receives segments.
    pub fn caller_address(&self, flow: &flow::Key) -> SocketAddr {
        SocketAddr::from((*flow.caller.ip(), self.settings.callers_port))
    }

    /// Sends a heartbeat to all members that need it: balancers only need those of agents,
    /// and agents seldom need those of balancers in other failure domains. `sync_status`
    /// returns the status to include for a member.
    pub fn broadcast_heartbeat(
        &self,
        role: Role,
        sync_status: impl Fn(&Roster, &Member) -> Option<SyncStatus>,
    ) {
        let round = self.rounds.fetch_add(1, Ordering::Relaxed);
        let to: Vec<_> = {
            let roster = self.roster.read();
            let is_near = |member: &Member| {
                round.is_multiple_of(FOREIGN_ROUNDS)
                    || member.domain == self.settings.domain
            };
            let needs = |member: &&Member| {
                role == Role::Agent || (member.role == Role::Agent && is_near(member))
            };
            let members = roster.members().iter().filter(needs);
            members.map(|member| (member.address, sync_status(&roster, member))).collect()
        };
        self.send_heartbeats(to, role, false);
    }

    /// Asks agents for a heartbeat: those for which `sync_status` returns a status to
    /// include.
    pub fn ask_agents(
        &self,
        sync_status: impl Fn(&Roster, &Member) -> Option<SyncStatus>,
    ) {
        let to: Vec<_> = {
            let roster = self.roster.read();
            let asked = roster.agents().filter_map(|member| {
                Some((member.address, Some(sync_status(&roster, member)?)))
            });
            asked.collect()
        };
        self.send_heartbeats(to, Role::Agent, true);
    }

    /// Sends a heartbeat to one node with its synchronisation status, or tells it that this
    /// node is leaving.
    pub fn reply_heartbeat(
        &self,
        to: SocketAddrV4,
        role: Role,
        sync_status: Option<SyncStatus>,
    ) {
        if self.has_left.load(Ordering::Relaxed) {
            return self.send_leave(to);
        }
        self.send_heartbeats([(to, sync_status)], role, false);
    }

    /// Sends a heartbeat to some nodes.
    pub fn send_heartbeat(&self, to: &[SocketAddrV4], role: Role, wants_reply: bool) {
        self.send_heartbeats(
            to.iter().map(|address| (*address, None)),
            role,
            wants_reply,
        );
    }

    /// Sends heartbeats to nodes, each with its synchronisation status.
    fn send_heartbeats(
        &self,
        to: impl IntoIterator<Item = (SocketAddrV4, Option<SyncStatus>)>,
        role: Role,
        wants_reply: bool,
    ) {
        if self.has_left.load(Ordering::Relaxed) {
            return;
        }
        let stated = self.stated.read();
        let mut message =
            Message::Heartbeat(self.next_heartbeat(&stated, role, wants_reply));
        for (address, sync_status) in to {
            if let Message::Heartbeat(heartbeat) = &mut message {
                heartbeat.sync_status = sync_status;
            }
            if address != self.settings.nodes {
                self.send(address, &message);
            }
        }
    }

    /// Adds the node itself to its roster, so that it selects the same home nodes as
    /// other nodes.
    pub fn record_own_heartbeat(&self, role: Role) {
        let stated = self.stated.read().clone();
        let heartbeat = self.next_heartbeat(&stated, role, false);
        // Can't be outdated, since sequence numbers increase.
        let _ = self.roster.write().record_heartbeat(
            self.now(),
            self.settings.nodes,
            &heartbeat,
        );
    }

    /// Creates the next heartbeat.
    fn next_heartbeat(
        &self,
        stated: &Stated,
        role: Role,
        wants_reply: bool,
    ) -> Heartbeat<'_> {
        Heartbeat {
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            domain: Cow::Borrowed(&self.settings.domain),
            revision: *self.revision.read(),
            wants_reply,
            is_agent: role == Role::Agent,
            backend_status: stated.status.clone(),
            sync_status: None,
            load: stated.load.clone(),
        }
    }

    /// Processes a heartbeat. Returns whether its sender needs one in return: it asked
    /// for one, or it is new and may not know this node.
    pub fn handle_heartbeat(
        &self,
        from: SocketAddrV4,
        heartbeat: &Heartbeat<'_>,
    ) -> bool {
        let change = self.roster.write().record_heartbeat(self.now(), from, heartbeat);
        match change {
            Ok(Change::None) => {}
            Ok(change) => log::info!(
                target: "member", member:% = from, change:? = change,
                domain:% = heartbeat.domain, stage:? = heartbeat.backend_status.as_ref().map(|o| o.stage),
                incarnation = heartbeat.incarnation; "member changed"
            ),
            Err(Outdated) => {
                metric::count(&metric::HEARTBEATS_OUTDATED);
            }
        }
        if self.record_newest(from, heartbeat) {
            // If the channel is full, the follower has already been signalled.
            let _ = self.newer_signal.0.try_send(());
        }
        heartbeat.wants_reply || change == Ok(Change::Joined)
    }

    /// Processes the departure of a member. Returns whether it was known.
    pub fn handle_leave(&self, from: SocketAddrV4, incarnation: u64) -> bool {
        let is_known =
            from != self.settings.nodes && self.roster.write().remove(from, incarnation);
        if is_known {
            log::info!(
                target: "member", member:% = from, change = "left", incarnation = incarnation;
                "member left"
            );
        }
        is_known
    }

    /// Time for which a datagram that is read now may have waited because the process was
    /// paused, in milliseconds.
    pub fn delay_ms(&self, now: Millis) -> u32 {
        u32::try_from(self.pause.read().delay_ms(now)).unwrap_or(u32::MAX)
    }

    /// Marks members with overdue heartbeats as silent. Must be called every
    /// [`HEARTBEAT_INTERVAL_MS`].
    pub fn tick(&self) {
        self.pause.write().tick(self.now());
        let (silent, speed_changes, uneven) = {
            let mut roster = self.roster.write();
            let silent = roster.tick(self.now());
            (silent, roster.take_speed_changes(), roster.uneven_services())
        };
        for member in silent {
            log::warn!(target: "member", member:% = member, change = "silent"; "member is silent");
        }
        for (service, is_uneven) in speed_changes {
            let change = if is_uneven { "uneven" } else { "even" };
            log::info!(
                target: "service", service:% = service, change = change;
                "backend servers of a service have begun or ceased to differ in speed"
            );
        }
        metric::set(&metric::UNEVEN_SERVICES, uneven as f64);
        self.traffic.publish();
    }

    /// Tells all members and the registration that the node is leaving for good.
    pub fn broadcast_leave(&self) {
        self.has_left.store(true, Ordering::Relaxed);
        let members: Vec<_> = {
            let roster = self.roster.read();
            roster.members().iter().map(|member| member.address).collect()
        };
        for member in members {
            self.send_leave(member);
        }
        // If the channel is full, the registration has already been signalled.
        let _ = self.leave_signal.0.try_send(());
    }

    /// Tells a node that this one is leaving for good. The heartbeat before that is for a
    /// node that hasn't heard this one yet but knows it from the store.
    fn send_leave(&self, to: SocketAddrV4) {
        let heartbeat = self.next_heartbeat(&self.stated.read(), Role::Agent, false);
        self.send(to, &Message::Heartbeat(heartbeat));
        self.send(to, &Message::Leave(self.incarnation));
    }

    /// The instance of the backend server that has reported last.
    pub fn heard(&self) -> Option<Heard> {
        *self.heard.read()
    }

    /// Tells the registration which instance of the backend server has reported.
    pub fn record_heard(&self, heard: Option<Heard>) {
        let before = std::mem::replace(&mut *self.heard.write(), heard);
        if before != heard {
            self.signal_registration();
        }
    }

    /// Lets the registration check its entry.
    pub fn signal_registration(&self) {
        // If the channel is full, the registration has already been signalled.
        let _ = self.registration_signal.0.try_send(());
    }

    /// Waits until the registration has to check its entry.
    pub async fn wait_for_registration(&self) {
        // Never fails: the sender lives as long as the node, so the channel is not
        // closed.
        let _ = self.registration_signal.1.recv().await;
    }

    /// Waits until the node is leaving for good.
    pub async fn wait_for_leave(&self) {
        // Never fails: the sender lives as long as the node, so the channel is not
        // closed.
        let _ = self.leave_signal.1.recv().await;
    }

    /// Records the change to the documents that a heartbeat reports. Returns whether it is newer
    /// than any before.
    fn record_newest(&self, from: SocketAddrV4, heartbeat: &Heartbeat<'_>) -> bool {
        let is_near = *heartbeat.domain == *self.settings.domain;
        let (revision, source) = (heartbeat.revision, is_near.then_some(from));
        let mut newest = self.newest.write();
        let is_newer = revision > newest.revision;
        if is_newer {
            *newest = Newest { revision, source };
        }
        is_newer
    }

    /// Newest revision of a document that another node has reported.
    pub fn newest_revision(&self) -> Revision {
        self.newest.read().revision
    }

    /// Waits until another node reports a newer revision of the documents than any
    /// before.
    pub async fn wait_for_newer(&self) {
        // Never fails: the sender lives as long as the node, so the channel is not
        // closed.
        let _ = self.newer_signal.1.recv().await;
    }
}
