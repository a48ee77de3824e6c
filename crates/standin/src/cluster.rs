//! All processes of a deployment in one process, over real sockets.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lentilreach::connection::open;
use lentilreach::id::{domain, node, service};
use lentilreach::process::agent::{self, Agent, Served};
use lentilreach::process::balancer::Balancer;
use lentilreach::process::endpoint::Identity;
use lentilreach::process::entry::Encapsulated;
use lentilreach::process::key::{Ring, Secret};
use lentilreach::process::link::{Link as _, Udp};
use lentilreach::process::pool::Pool;
use lentilreach::process::tables::Tables;
use lentilreach::request::admit;
use lentilreach::version::view::{Domain, Load, Member, Service, Stage, View};
use parking_lot::Mutex;

use crate::backend::{Backend, Nature};
use crate::caller::Fate;
use crate::deployment::{CONNECTIONS, Deployment};
use crate::fabric::Fabric;
use crate::loopback::{Link, Network};
use crate::record::Record;
use crate::tls;

/// Balancers of a deployment.
const BALANCERS: usize = 4;

/// Length of a cold start. Shorter than in operation, so that a short run sees several.
pub const COLD: Duration = Duration::from_millis(1_000);

/// Longest drain. Longer than callers think, so that all of them move in time.
pub const LEAVE: Duration = Duration::from_millis(4_000);

/// Time for a request on a warm backend server.
const WORK: Duration = Duration::from_millis(15);

/// Requests that a cold backend server bears at once.
const COLD_SLOTS: u16 = 1;

/// A running deployment. Clones share it.
#[derive(Debug, Clone)]
pub struct Cluster {
    /// Shared by all clones.
    shared: Arc<Shared>,
}

/// State of a [`Cluster`].
#[derive(Debug)]
struct Shared {
    /// Runs everything.
    pool: Pool,
    /// The deployment.
    deployment: Deployment,
    /// Share of the deployment's connections.
    scale: f64,
    /// What the ends saw.
    record: Record,
    /// Delay and loss.
    network: Network,
    /// Sprays datagrams.
    fabric: Fabric,
    /// Certificate for callers.
    identity: Identity,
    /// The fleet's secret.
    secret: Secret,
    /// Bound addresses of the services, in the order of the deployment.
    addresses: Vec<SocketAddr>,
    /// Balancers that run.
    balancers: Mutex<Vec<Front>>,
    /// Backend servers with their agents, by number; those gone stay.
    units: Mutex<Vec<Arc<Unit>>>,
}

/// A balancer of a cluster.
#[derive(Debug)]
struct Front {
    /// Where the fabric sends datagrams.
    entry: SocketAddr,
    /// Its view.
    tables: Arc<Tables>,
    /// Moves datagrams.
    _balancer: Balancer,
}

/// A backend server with its agent.
#[derive(Debug)]
pub struct Unit {
    /// The backend server.
    pub backend: Backend,
    /// Index of the service in the deployment.
    pub service: usize,
    /// Index of the failure domain in the deployment.
    pub domain: usize,
    /// The agent's process.
    node: node::Id,
    /// The agent, while it runs.
    agent: Mutex<Option<Agent<Link>>>,
    /// How it ended, if it has.
    end: Mutex<Option<Gone>>,
}

/// How a unit ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gone {
    /// After a drain.
    Drained,
    /// Without warning.
    Crashed,
}

impl Cluster {
    /// Starts a deployment.
    ///
    /// # Errors
    /// If sockets or certificates cannot be had.
    pub fn start(
        pool: &Pool,
        deployment: Deployment,
        record: Record,
        scale: f64,
        loss: f64,
        seed: u64,
    ) -> io::Result<Self> {
        let domains = deployment.domains.len();
        let delay = deployment.domain_delay;
        let network = Network::new(pool.clone(), domains, delay, loss, seed);
        let asked: Vec<_> = deployment.services.iter().map(|s| s.address).collect();
        let (fabric, addresses) =
            Fabric::start(pool, network.clone(), deployment.caller_delay, &asked, seed)?;
        let mut bytes = [0; 32];
        fastrand::fill(&mut bytes);
        let shared = Shared {
            pool: pool.clone(),
            scale,
            record,
            network,
            fabric,
            identity: tls::identity()?,
            secret: Secret { id: 1, bytes },
            addresses,
            balancers: Mutex::default(),
            units: Mutex::default(),
            deployment,
        };
        let cluster = Self { shared: Arc::new(shared) };
        for _ in 0..BALANCERS {
            cluster.add_balancer()?;
        }
        for (index, service) in cluster.shared.deployment.services.iter().enumerate() {
            for target in 0..service.targets {
                cluster.add_unit(index, target % domains)?;
            }
        }
        cluster.publish();
        Ok(cluster)
    }

    /// The deployment.
    pub fn deployment(&self) -> &Deployment {
        &self.shared.deployment
    }

    /// Where callers reach a service.
    pub fn address(&self, service: usize) -> SocketAddr {
        self.shared.addresses[service]
    }

    /// Certificate that callers trust.
    pub fn identity(&self) -> &Identity {
        &self.shared.identity
    }

    /// The network.
    pub fn network(&self) -> &Network {
        &self.shared.network
    }

    /// All units, by number; those gone included.
    pub fn units(&self) -> Vec<Arc<Unit>> {
        self.shared.units.lock().clone()
    }

    /// Flows per backend server that the scale gives.
    pub fn flows_per_unit(&self) -> u32 {
        (CONNECTIONS * self.shared.scale).round().max(1.0) as u32
    }

    /// Starts a balancer and adds it to the fabric.
    ///
    /// # Errors
    /// If no socket can be had.
    pub fn add_balancer(&self) -> io::Result<()> {
        let shared = &self.shared;
        let at = shared.balancers.lock().len();
        let link = shared.network.link(at % shared.deployment.domains.len())?;
        let outer = Udp::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let entry = outer.local();
        let tables = Arc::new(Tables::new(self.ring(node::Id(fastrand::u64(..)))));
        let outer = Encapsulated::new(outer, shared.fabric.inner());
        let balancer = Balancer::start(&shared.pool, tables.clone(), outer, link);
        let front = Front { entry, tables, _balancer: balancer };
        shared.balancers.lock().push(front);
        self.publish();
        shared.fabric.add(entry);
        Ok(())
    }

    /// Removes the oldest balancer from the fabric, then stops it after `grace`.
    pub async fn remove_balancer(&self, grace: Duration) {
        let front = self.shared.balancers.lock().remove(0);
        self.shared.fabric.remove(front.entry);
        async_io::Timer::after(grace).await;
    }

    /// Stops the oldest balancer without warning. The fabric notices after `notice`.
    pub async fn crash_balancer(&self, notice: Duration) {
        let front = self.shared.balancers.lock().remove(0);
        let entry = front.entry;
        drop(front);
        async_io::Timer::after(notice).await;
        self.shared.fabric.remove(entry);
    }

    /// Takes a failure domain out, or brings it back.
    pub fn set_out(&self, domain: usize, out: bool) {
        self.shared.network.set_out(domain, out);
        for unit in self.units().iter().filter(|unit| unit.domain == domain) {
            unit.set_out(out, &self.served(unit.service));
        }
        self.publish();
    }

    /// Starts a backend server with its agent; returns its number.
    ///
    /// # Errors
    /// If no socket can be had.
    pub fn add_unit(&self, service: usize, domain: usize) -> io::Result<usize> {
        let shared = &self.shared;
        let number = shared.record.grow();
        let kind = &shared.deployment.services[service];
        let nature = Nature {
            slots: kind.slots,
            cold_slots: COLD_SLOTS,
            cold: COLD,
            work: WORK,
            cold_factor: 3,
        };
        let record = shared.record.clone();
        let backend = Backend::start(&shared.pool, number, kind.name, nature, record)?;
        let node = node::Id(fastrand::u64(..));
        let settings = agent::Settings {
            node,
            domain: domain::Id(domain as u8),
            backend: backend.address(),
            limits: self.limits(kind.slots),
            identity: shared.identity.clone(),
        };
        let tables = Arc::new(Tables::new(self.ring(node)));
        let link = shared.network.link(domain)?;
        let agent = Agent::start(&shared.pool, tables, link, settings)?;
        agent.serve(&[self.served(service)])?;
        let agent = Mutex::new(Some(agent));
        let end = Mutex::new(None);
        let unit = Unit { backend, service, domain, node, agent, end };
        shared.units.lock().push(Arc::new(unit));
        Ok(number)
    }

    /// Builds the view from what the agents report and gives it to all.
    pub fn publish(&self) {
        let units = self.units();
        let members: Vec<_> = units
            .iter()
            .filter_map(|unit| Some((unit.service, unit.member()?)))
            .collect();
        let services = (0..self.shared.addresses.len())
            .map(|service| self.service(service, &members))
            .collect::<Vec<_>>();
        let names = self.shared.deployment.domains.iter().enumerate();
        let domains = names.map(|(at, name)| Domain {
            id: domain::Id(at as u8),
            name: (*name).into(),
            out: self.shared.network.is_out(at),
        });
        let view = View::new(1, services, domains.collect());
        for front in self.shared.balancers.lock().iter() {
            front.tables.set_view(view.clone());
        }
        self.tell_means(&units, &members);
    }

    /// Tells agents the mean of open flows of their service.
    fn tell_means(&self, units: &[Arc<Unit>], members: &[(usize, Member)]) {
        for unit in units {
            let same = members.iter().filter(|(service, member)| {
                let serving = matches!(member.stage, Stage::Active | Stage::Cold);
                *service == unit.service && serving
            });
            let (count, sum) =
                same.fold((0, 0), |(n, sum), (_, m)| (n + 1, sum + m.load.open));
            let mean = (count > 0).then(|| sum * 10 / count);
            if let Some(agent) = unit.agent.lock().as_ref() {
                agent.shared().flows.write().set_mean(mean);
            }
        }
    }

    /// A service as balancers see it.
    fn service(&self, service: usize, members: &[(usize, Member)]) -> Service {
        let served = self.served(service);
        let own = members.iter().filter(|(other, _)| *other == service);
        let own = own.map(|(_, member)| *member).collect();
        Service::new(served.address, served.id, served.name, own)
    }

    /// A service as agents know it.
    fn served(&self, service: usize) -> Served {
        let organisation = self.shared.deployment.organisation;
        let name = self.shared.deployment.services[service].name;
        Served {
            id: service::Id::of(organisation, name),
            address: self.shared.addresses[service],
            name: format!("{organisation}/{name}").into(),
        }
    }

    /// What a backend server bears.
    fn limits(&self, slots: u16) -> agent::Limits {
        // A backend server must be able to take over from others in its service.
        let flows = 3 * self.flows_per_unit();
        agent::Limits {
            requests: admit::Limits {
                slots,
                cold_slots: COLD_SLOTS,
                cold_ms: COLD.as_millis() as u64,
                queue: 64,
            },
            flows: open::Limits { flows, cold_flows: flows, half_open_ms: 5_000 },
            deadline_ms: 2_500,
            leave_ms: LEAVE.as_millis() as u64,
        }
    }

    /// The key ring of a process.
    fn ring(&self, node: node::Id) -> Ring {
        Ring::new(node, std::slice::from_ref(&self.shared.secret), 1)
    }
}

impl Fate for Cluster {
    fn excuses(&self, backend: Option<usize>) -> bool {
        let units = self.shared.units.lock();
        let excused = |unit: &Arc<Unit>| {
            unit.gone() == Some(Gone::Crashed) || self.shared.network.is_out(unit.domain)
        };
        match backend {
            Some(number) => units.get(number).is_some_and(excused),
            None => units.iter().any(excused),
        }
    }
}

impl Unit {
    /// Whether it may be given new flows: it runs, is warm and does not leave.
    pub fn is_eligible(&self) -> bool {
        self.gone().is_none() && !self.backend.is_leaving() && !self.backend.is_cold()
    }

    /// How it ended, if it has.
    pub fn gone(&self) -> Option<Gone> {
        *self.end.lock()
    }

    /// Takes the agent out of service with its failure domain, or brings it back cold.
    fn set_out(&self, out: bool, served: &Served) {
        let agent = self.agent.lock();
        let Some(agent) = agent.as_ref() else { return };
        if out {
            // An empty list cannot fail.
            let _ = agent.serve(&[]);
            self.backend.restart();
        } else {
            self.backend.restart();
            if let Err(error) = agent.serve(std::slice::from_ref(served)) {
                log::error!("step=serve peer={} {error}", served.name);
            }
        }
    }

    /// Begins the drain.
    pub fn leave(&self) {
        self.backend.leave();
        if let Some(agent) = self.agent.lock().as_ref() {
            agent.leave();
        }
    }

    /// Waits until the drain is over, then stops agent and backend server.
    pub async fn finish(&self) {
        let end = std::time::Instant::now() + LEAVE + Duration::from_millis(500);
        while self.open() > 0 && std::time::Instant::now() < end {
            async_io::Timer::after(Duration::from_millis(20)).await;
        }
        self.stop(Gone::Drained);
    }

    /// Stops agent and backend server at once.
    pub fn stop(&self, how: Gone) {
        *self.end.lock() = Some(how);
        let agent = self.agent.lock().take();
        drop(agent);
        self.backend.stop();
    }

    /// Open flows at the agent.
    fn open(&self) -> u32 {
        let agent = self.agent.lock();
        agent.as_ref().map_or(0, |agent| agent.shared().flows.read().open())
    }

    /// What the agent announces; nothing once it is gone.
    fn member(&self) -> Option<Member> {
        let agent = self.agent.lock();
        let shared = agent.as_ref()?.shared();
        let flows = shared.flows.read();
        let slots = shared.site.slots();
        let stage = if shared.site.leave().has_begun() {
            Stage::Leaving
        } else if slots.is_cold() {
            Stage::Cold
        } else {
            Stage::Active
        };
        let load = Load {
            open: flows.open(),
            limit: flows.limit(),
            busy: slots.busy(),
            slots: slots.limit(),
            at: shared.clock.now(),
        };
        let domain = domain::Id(self.domain as u8);
        Some(Member { node: self.node, agent: shared.origin(), domain, stage, load })
    }
}
