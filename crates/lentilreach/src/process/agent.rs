//! The agent: terminates callers' connections on the machine of a backend server.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use async_io::Timer;
use smol::Task;

use crate::connection::admission::{self, Outcome};
use crate::connection::directory::Directory;
use crate::connection::flow;
use crate::connection::placement::{Placement, Step};
use crate::id::{domain, node, service};
use crate::process::clock::Clock;
use crate::process::context::{self, Context};
use crate::process::drain::Drain;
use crate::process::endpoint::{Endpoint, Identity};
use crate::process::event::Refusal;
use crate::process::link::{Link, MAX_DATAGRAM_LEN, is_transient};
use crate::process::lock::Ranked;
use crate::process::metric::handle::DropReason;
use crate::process::metric::{DroppedDatagrams, Envelope};
use crate::process::name::Name;
use crate::process::pool::Pool;
use crate::process::return_path::RecentBalancers;
use crate::process::revoke::Revoker;
use crate::process::slot::Slots;
use crate::process::tables::{CONFIG, CONNECTIONS, DIRECTORY, MEMBERS, Tables};
use crate::process::upstream::Http;
use crate::request::admit;
use crate::request::envelope::{Admitted, Fault, Forward, Header, Sealer};
use crate::request::packet::{Form, Packet};

/// Number of tasks that receive envelopes.
const RECEIVE_TASKS: usize = 2;

/// Interval at which deadlines, half-open flows and drained services are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Initial settings of an agent.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The process.
    pub node: node::Id,
    /// The failure domain that it runs in.
    pub domain: domain::Id,
    /// Address at which the backend server accepts HTTP/1.1.
    pub backend: SocketAddr,
    /// Limits of the backend server.
    pub limits: Limits,
    /// Certificate and key presented to callers.
    pub identity: Identity,
}

/// Limits of a backend server, from its service's template.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Limits on requests.
    pub requests: admit::Limits,
    /// Limits on flows.
    pub flows: admission::Limits,
    /// Maximum duration of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum duration of the drain, in milliseconds.
    pub leave_ms: u64,
}

/// A service that the agent serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Served {
    /// Identifies the service.
    pub id: service::Id,
    /// The address that callers use.
    pub address: SocketAddr,
    /// `ORGANISATION/SERVICE`.
    pub name: Name,
}

/// A running agent. Stops without a drain when dropped.
#[derive(Debug)]
pub struct Agent<L: Link> {
    /// State shared by its tasks.
    shared: Arc<Shared<L>>,
    /// Its tasks.
    _tasks: Vec<Task<()>>,
}

/// State shared by the tasks of an agent.
#[derive(Debug)]
pub struct Shared<L: Link> {
    /// The process.
    pub node: node::Id,
    /// Its failure domain, as encoded in new tokens.
    domain: AtomicU8,
    /// Sends and receives envelopes.
    pub link: L,
    /// The view and the fleet keys.
    pub tables: Arc<Tables>,
    /// The clock.
    pub clock: Clock,
    /// Runs tasks.
    pub pool: Pool,
    /// Balancers heard from recently, lock rank [`MEMBERS`].
    pub recent_balancers: Arc<Ranked<RecentBalancers>>,
    /// Open flows, lock rank [`CONNECTIONS`].
    pub flows: Ranked<admission::Table>,
    /// Opening flows of which this agent is the home, lock rank [`DIRECTORY`].
    directory: Ranked<Directory>,
    /// Shared by request tasks.
    pub context: Arc<Context<Http, L>>,
    /// Revokes idempotency keys for other agents and asks them to revoke theirs.
    revoker: Arc<Revoker<L>>,
    /// Sorted by [`Endpoint::key`], without duplicates; lock rank [`CONFIG`].
    endpoints: Ranked<Vec<Endpoint<L>>>,
    /// Certificate and key presented to callers.
    pub identity: Identity,
    /// Counts dropped datagrams.
    dropped: DroppedDatagrams,
    /// Counts rejected envelopes.
    envelopes: Envelope,
}

impl<L: Link> Agent<L> {
    /// Starts an agent that serves no service yet.
    ///
    /// # Errors
    /// If the link does not have an IPv4 address, which tokens require.
    pub fn start(
        pool: &Pool,
        tables: Arc<Tables>,
        link: L,
        settings: Settings,
    ) -> io::Result<Self> {
        let SocketAddr::V4(address) = link.local_addr() else {
            return Err(io::Error::other("step=start: the envelope address is not IPv4"));
        };
        let clock = Clock::new();
        let (upstream, closed) = Http::new(settings.backend, pool.clone());
        let slots = Slots::new(settings.limits.requests, clock);
        let revoker = Arc::new(Revoker::new(link.clone(), tables.clone()));
        let context = context::Settings {
            node: settings.node,
            agent: address,
            clock,
            deadline_ms: settings.limits.deadline_ms,
            leave_ms: settings.limits.leave_ms,
        };
        let context = Context::new(
            context,
            tables.clone(),
            slots.clone(),
            upstream,
            revoker.clone(),
            Drain::default(),
        );
        let shared = Arc::new(Shared {
            node: settings.node,
            domain: AtomicU8::new(settings.domain.0),
            link,
            tables,
            clock,
            pool: pool.clone(),
            recent_balancers: Arc::new(Ranked::new(MEMBERS, RecentBalancers::default())),
            flows: Ranked::new(CONNECTIONS, admission::Table::new(settings.limits.flows)),
            directory: Ranked::new(DIRECTORY, Directory::default()),
            context: Arc::new(context),
            revoker,
            endpoints: Ranked::new(CONFIG, Vec::new()),
            identity: settings.identity,
            dropped: DroppedDatagrams::new(),
            envelopes: Envelope::new(),
        });
        let mut tasks: Vec<_> = (0..RECEIVE_TASKS)
            .map(|_| pool.spawn(shared.clone().receive_all()))
            .collect();
        tasks.push(pool.spawn(shared.clone().tick_all()));
        tasks.push(pool.spawn(async move {
            while closed.recv().await.is_ok() {
                slots.connections_closed();
            }
        }));
        Ok(Self { shared, _tasks: tasks })
    }

    /// Serves exactly these services from now on. Flows of other services are closed.
    ///
    /// # Errors
    /// If a QUIC endpoint cannot be started; the other services are still served.
    pub fn replace_services(&self, services: &[Served]) -> io::Result<()> {
        let mut endpoints = self.shared.endpoints.write();
        endpoints.retain(|endpoint| services.contains(endpoint.served()));
        self.open(&mut endpoints, services)
    }

    /// Serves these services from now on. Other services get no new flows and are drained like
    /// the whole process in [`Self::begin_drain`]. A service that is added again during its
    /// drain gets new flows, while its earlier connections continue to drain.
    ///
    /// # Errors
    /// If a QUIC endpoint cannot be started; the other services are still served.
    pub fn update_services(&self, services: &[Served]) -> io::Result<()> {
        let mut endpoints = self.shared.endpoints.write();
        for endpoint in endpoints.iter() {
            if services.contains(endpoint.served()) {
                endpoint.resume();
            } else {
                endpoint.begin_drain();
            }
        }
        self.open(&mut endpoints, services)
    }

    /// Starts the missing endpoints.
    fn open(
        &self,
        endpoints: &mut Vec<Endpoint<L>>,
        services: &[Served],
    ) -> io::Result<()> {
        let mut result = Ok(());
        for served in services {
            let key = (served.id, served.address);
            let found = endpoints.binary_search_by_key(&key, Endpoint::key);
            let Err(at) = found else { continue };
            match Endpoint::start(self.shared.clone(), served.clone()) {
                Ok(endpoint) => endpoints.insert(at, endpoint),
                Err(error) => result = Err(error),
            }
        }
        result
    }

    /// Sets the failure domain for new tokens. Call this before services are served.
    pub fn set_domain(&self, domain: domain::Id) {
        self.shared.domain.store(domain.0, Ordering::Relaxed);
    }

    /// Replaces the limits of the backend server. Open flows and running requests continue.
    pub fn set_limits(&self, limits: Limits) {
        self.shared.flows.write().set_limits(limits.flows);
        self.shared.context.slots().set_limits(limits.requests);
        self.shared.context.set_time_limits(limits.deadline_ms, limits.leave_ms);
    }

    /// Updates the gauges of flows and requests.
    pub fn update_gauges(&self) {
        let slots = self.shared.context.slots();
        let (busy, waiting) = (slots.busy(), slots.waiting());
        for endpoint in self.shared.endpoints.read().iter() {
            let metrics = endpoint.metrics();
            metrics.set_open_flows(endpoint.open());
            metrics.set_busy_slots(busy);
            metrics.set_queue_length(waiting.into());
        }
    }

    /// Begins the drain: new flows and requests are refused, and callers are told to open new
    /// flows (GOAWAY).
    pub fn begin_drain(&self) {
        self.shared.flows.write().set_draining(true);
        self.shared.context.slots().set_draining(true);
        self.shared.context.drain().begin();
    }

    /// Waits until all flows are closed and no request runs, or until the drain times out.
    pub async fn drained(&self) {
        let limit = self.shared.context.drain_timeout();
        let deadline = self.shared.clock.now().after(limit.as_millis() as u64);
        while self.shared.is_in_use() && self.shared.clock.now() < deadline {
            Timer::after(TICK_INTERVAL).await;
        }
    }

    /// The address at which the agent receives envelopes.
    pub fn address(&self) -> SocketAddr {
        self.shared.link.local_addr()
    }

    /// State shared by the tasks: flows, limiter and fleet keys.
    pub fn shared(&self) -> &Arc<Shared<L>> {
        &self.shared
    }
}

impl<L: Link> Drop for Agent<L> {
    fn drop(&mut self) {
        // Stops the accept tasks, which hold the shared state.
        self.shared.endpoints.write().clear();
    }
}

impl<L: Link> Shared<L> {
    /// Receives envelopes until the link fails.
    async fn receive_all(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_LEN];
        let mut out = Vec::with_capacity(MAX_DATAGRAM_LEN);
        loop {
            match self.link.receive(&mut buffer).await {
                Ok((len, _)) => self.receive(&buffer[..len], &mut out),
                Err(error) if is_transient(&error) => {}
                Err(error) => return log::error!("step=receive peer=balancer {error}"),
            }
        }
    }

    /// Handles one envelope.
    fn receive(&self, envelope: &[u8], out: &mut Vec<u8>) {
        if Sealer::is_encrypted(envelope) {
            if !self.revoker.receive(envelope, |key| self.context.revoke(key)) {
                self.dropped.count_dropped(DropReason::Secret);
            }
            return;
        }
        let keys = self.tables.keys();
        match keys.sealer.open(envelope) {
            Ok((Header::Forward(forward), datagram)) => {
                self.handle_forward(forward, datagram, out)
            }
            Ok((Header::Admitted(admitted), _)) => {
                let flow = flow::Key { caller: admitted.caller, id: admitted.id };
                self.directory.write().record_admitted(
                    self.clock.now(),
                    flow,
                    admitted.agent,
                );
            }
            Ok(_) => self.envelopes.count_rejected(Fault::Header),
            Err(fault) => self.envelopes.count_rejected(fault),
        }
    }

    /// Handles a caller's datagram: delivers it, passes it on, or drops it.
    fn handle_forward(&self, forward: Forward, datagram: &[u8], out: &mut Vec<u8>) {
        self.record_balancer(forward.balancer);
        if !forward.candidates.is_empty() {
            let Some(flow) = opened_flow(&forward, datagram) else {
                return self.dropped.count_dropped(DropReason::Opening);
            };
            match self.place_flow(flow, forward.clone()) {
                Step::Deliver { notify_home: Some(home), .. } => {
                    self.notify_home(home, flow, out)
                }
                Step::Deliver { notify_home: None, .. } => {}
                Step::Send { to, forward, .. } => {
                    return self.send(to, forward, datagram, out);
                }
                Step::Drop => return self.dropped.count_dropped(DropReason::Opening),
            }
        }
        let endpoints = self.endpoints.read();
        let key = (forward.service, forward.address);
        let Ok(at) = endpoints.binary_search_by_key(&key, Endpoint::key) else {
            // A packet for a service that is not served here, due to a stale view or a reused
            // address.
            return self.dropped.count_dropped(DropReason::Foreign);
        };
        if !endpoints[at].push(forward.caller, datagram) {
            self.dropped.count_dropped(DropReason::Overflow);
        }
    }

    /// Decides on an opening packet and counts the decision.
    fn place_flow(&self, flow: flow::Key, forward: Forward) -> Step {
        let metrics = {
            let endpoints = self.endpoints.read();
            let key = (forward.service, forward.address);
            let found = endpoints.binary_search_by_key(&key, Endpoint::key).ok();
            let served = found.filter(|at| !endpoints[*at].is_draining());
            served.map(|at| endpoints[at].metrics().clone())
        };
        let cold = self.context.slots().is_cold();
        let mut flows = self.flows.write();
        flows.set_cold(cold);
        let mut directory = self.directory.write();
        let serves = metrics.is_some();
        let mut placement = Placement {
            own_address: self.envelope_address(),
            serves,
            flows: &mut flows,
            directory: &mut directory,
        };
        let step = placement.step(self.clock.now(), flow, forward);
        drop(directory);
        drop(flows);
        let Some(metrics) = metrics else { return step };
        match &step {
            Step::Deliver { outcome: Outcome::Admit, .. } => metrics.count_admitted(),
            Step::Deliver { outcome: Outcome::Refuse(reason), .. } => {
                if let Some(reason) = counted_refusal(*reason) {
                    metrics.count_refused(reason);
                }
            }
            Step::Send { declined: true, .. } => metrics.count_handed_on(),
            _ => {}
        }
        step
    }

    /// Notifies the home agent of a flow that this agent has admitted it.
    fn notify_home(&self, home: SocketAddrV4, flow: flow::Key, out: &mut Vec<u8>) {
        let admitted =
            Admitted { caller: flow.caller, id: flow.id, agent: self.envelope_address() };
        if self.tables.keys().sealer.seal(&Header::Admitted(admitted), &[], out) {
            // If the notification is lost, a retransmission of the packet is offered to the
            // candidates again.
            let _ = self.link.send(SocketAddr::V4(home), out);
        }
    }

    /// Sends an opening packet to another agent.
    fn send(
        &self,
        to: SocketAddrV4,
        forward: Forward,
        datagram: &[u8],
        out: &mut Vec<u8>,
    ) {
        if self.tables.keys().sealer.seal(&Header::Forward(forward), datagram, out) {
            // The caller retransmits a lost packet.
            let _ = self.link.send(SocketAddr::V4(to), out);
        }
    }

    /// Records that a balancer was heard from.
    fn record_balancer(&self, balancer: SocketAddr) {
        let now = self.clock.now();
        if !self.recent_balancers.read().is_recent(now, balancer) {
            self.recent_balancers.write().record(now, balancer);
        }
    }

    /// Periodically handles deadlines, half-open flows and drained services.
    async fn tick_all(self: Arc<Self>) {
        loop {
            Timer::after(TICK_INTERVAL).await;
            self.context.slots().tick();
            self.flows.write().expire(self.clock.now());
            self.remove_drained();
        }
    }

    /// Removes the endpoints of drained services.
    fn remove_drained(&self) {
        let is_drained = |e: &Endpoint<L>| e.is_draining() && e.open() == 0;
        if self.endpoints.read().iter().any(is_drained) {
            self.endpoints.write().retain(|endpoint| !is_drained(endpoint));
        }
    }

    /// Whether a flow is open or a request runs, perhaps without its caller.
    fn is_in_use(&self) -> bool {
        self.flows.read().open() > 0 || self.context.slots().busy() > 0
    }

    /// The failure domain, as encoded in new tokens.
    pub fn domain(&self) -> domain::Id {
        domain::Id(self.domain.load(Ordering::Relaxed))
    }

    /// The envelope address, as encoded in tokens.
    pub fn envelope_address(&self) -> SocketAddrV4 {
        match self.link.local_addr() {
            SocketAddr::V4(address) => address,
            SocketAddr::V6(_) => unreachable!("checked when the agent started"),
        }
    }
}

/// The reason counted in metrics; `None` for a late duplicate of a closed flow's packet.
fn counted_refusal(reason: admission::Reason) -> Option<Refusal> {
    match reason {
        admission::Reason::Draining => Some(Refusal::Leaving),
        admission::Reason::Cold => Some(Refusal::Cold),
        admission::Reason::Full => Some(Refusal::Full),
        admission::Reason::Closed => None,
    }
}

/// The flow opened by a datagram; `None` if it does not open one.
fn opened_flow(forward: &Forward, datagram: &[u8]) -> Option<flow::Key> {
    let packet = Packet::parse(forward.caller, forward.address, datagram).ok()?;
    let opens = packet.form == Form::Initial;
    opens.then(|| flow::Key::new(forward.caller, packet.destination))
}
