//! All processes of a deployment in one process, over real sockets.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_io::Timer;
use lentilreach::process::control::Builder;
use lentilreach::process::endpoint::Identity;
use lentilreach::process::event::Recorder;
use lentilreach::process::key::Secret;
use lentilreach::process::pool::Pool;
use lentilreach::process::settings::{self, Node};
use lentilreach::process::store as client;
use parking_lot::Mutex;

use crate::backend::{Backend, Capacity};
use crate::balancer::Instance;
use crate::caller::Failures;
use crate::deployment::{CONNECTIONS, Deployment};
use crate::fabric::Fabric;
use crate::loopback::Network;
use crate::operator::Operator;
use crate::record::Record;
use crate::store;
use crate::target::{Gone, Target};
use crate::tls;

/// Balancers of a deployment.
const BALANCERS: usize = 4;

/// Length of a cold start. Shorter than in operation, so that a short run sees several.
pub const COLD: Duration = Duration::from_millis(1_000);

/// Time for a request on a warm backend server.
const WORK: Duration = Duration::from_millis(15);

/// Requests that a cold backend server bears at once.
pub const COLD_SLOTS: u16 = 1;

/// Longest time for all processes to be ready.
const START: Duration = Duration::from_secs(30);

/// Time between two looks at the state of processes.
const LOOK: Duration = Duration::from_millis(20);

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
    /// The deployment, with the addresses that the fabric has bound.
    deployment: Deployment,
    /// Share of the deployment's connections.
    scale: f64,
    /// What the ends saw.
    record: Record,
    /// Delay and loss.
    network: Network,
    /// Sprays datagrams.
    fabric: Fabric,
    /// The platform's store.
    store: store::Server,
    /// Submits changes.
    operator: Operator,
    /// Certificate for callers.
    identity: Identity,
    /// The fleet's secret.
    secret: Secret,
    /// Number of the next process.
    next: AtomicUsize,
    /// Balancers that run, the oldest first.
    balancers: Mutex<Vec<Arc<Instance>>>,
    /// Backend servers with their agents, by number; those gone stay.
    targets: Mutex<Vec<Arc<Target>>>,
}

impl Cluster {
    /// Starts a deployment and waits until all of it is ready.
    ///
    /// # Errors
    /// If sockets or certificates cannot be had, or a process does not become ready.
    pub fn start(
        pool: &Pool,
        mut deployment: Deployment,
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
        for (service, address) in deployment.services.iter_mut().zip(addresses) {
            service.address = address;
        }
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = store::Builder::new().serve(any, pool)?;
        let settings = client::Settings::builder().endpoint(store.address()).build();
        let operator = Operator::new(client::connect(settings, pool.clone())?);
        let mut secret = [0; 32];
        fastrand::fill(&mut secret);
        let shared = Shared {
            pool: pool.clone(),
            deployment,
            scale,
            record,
            network,
            fabric,
            store,
            operator,
            identity: tls::identity()?,
            secret: Secret::fleet(&secret),
            next: AtomicUsize::new(0),
            balancers: Mutex::default(),
            targets: Mutex::default(),
        };
        let cluster = Self { shared: Arc::new(shared) };
        smol::block_on(cluster.populate())?;
        Ok(cluster)
    }

    /// Submits the configuration, starts all processes and waits until they are ready.
    async fn populate(&self) -> io::Result<()> {
        let deployment = &self.shared.deployment;
        let document = deployment.document(self.flows_per_target());
        self.operator().submit(&document).await.map_err(io::Error::other)?;
        for _ in 0..BALANCERS {
            self.add_balancer()?;
        }
        for (index, service) in deployment.services.iter().enumerate() {
            for target in 0..service.targets {
                self.add_target(index, target % deployment.domains.len())?;
            }
        }
        let end = Instant::now() + START;
        while !self.is_ready() {
            if Instant::now() > end {
                return Err(io::Error::other("a process did not become ready in 30 s"));
            }
            Timer::after(LOOK).await;
        }
        Ok(())
    }

    /// The deployment, with the addresses that the fabric has bound.
    pub fn deployment(&self) -> &Deployment {
        &self.shared.deployment
    }

    /// Certificate that callers trust.
    pub fn identity(&self) -> &Identity {
        &self.shared.identity
    }

    /// What the ends saw.
    pub fn record(&self) -> &Record {
        &self.shared.record
    }

    /// The network.
    pub fn network(&self) -> &Network {
        &self.shared.network
    }

    /// The platform's store.
    pub fn store(&self) -> &store::Handle {
        self.shared.store.handle()
    }

    /// Submits changes.
    pub fn operator(&self) -> &Operator {
        &self.shared.operator
    }

    /// All targets, by number; those gone included.
    pub fn targets(&self) -> Vec<Arc<Target>> {
        self.shared.targets.lock().clone()
    }

    /// Balancers that run, the oldest first.
    pub fn balancers(&self) -> Vec<Arc<Instance>> {
        self.shared.balancers.lock().clone()
    }

    /// Flows per backend server that the scale gives.
    pub fn flows_per_target(&self) -> u32 {
        (CONNECTIONS * self.shared.scale).round().max(1.0) as u32
    }

    /// Whether all processes are ready and all balancers know all agents.
    fn is_ready(&self) -> bool {
        let targets = self.targets();
        let count = targets.len();
        targets.iter().all(|target| target.is_ready())
            && self.balancers().iter().all(|f| f.is_ready() && f.members() == count)
    }

    /// The configuration revision in force at each process that runs, by process number.
    pub fn revisions(&self) -> Vec<(usize, u64)> {
        let balancers = self.balancers();
        let targets = self.targets();
        let balancers =
            balancers.iter().map(|balancer| (balancer.number, balancer.revision()));
        let targets = targets.iter().filter(|target| target.gone().is_none());
        balancers
            .chain(targets.map(|target| (target.number, target.revision())))
            .collect()
    }

    /// Waits until a revision is in force at every process; `None` if it is not in time.
    pub async fn in_force(&self, revision: u64, limit: Duration) -> Option<Duration> {
        let start = Instant::now();
        while self.revisions().iter().any(|(_, other)| *other < revision) {
            if start.elapsed() > limit {
                return None;
            }
            Timer::after(LOOK / 4).await;
        }
        Some(start.elapsed())
    }

    /// Lets the fabric follow the readiness of balancers, as the platform does.
    pub async fn follow(self) {
        loop {
            for balancer in self.balancers() {
                let ready =
                    balancer.is_ready() && !self.network().is_out(balancer.domain);
                if ready {
                    self.shared.fabric.add(balancer.entry);
                } else {
                    self.shared.fabric.remove(balancer.entry);
                }
            }
            Timer::after(LOOK).await;
        }
    }

    /// Starts a balancer. The fabric uses it once it is ready.
    ///
    /// # Errors
    /// If no socket can be had.
    pub fn add_balancer(&self) -> io::Result<()> {
        let shared = &self.shared;
        let number = shared.next.fetch_add(1, Ordering::Relaxed);
        let domain = number % shared.deployment.domains.len();
        let settings = self.settings("balancer", number, domain);
        let store = client::Settings::builder().endpoint(shared.store.address()).build();
        let store = client::connect(store, shared.pool.clone())?;
        let builder = self.builder(&settings.clone().balancer(any()).node);
        let balancer = Instance::start(
            number,
            domain,
            builder,
            &shared.network,
            shared.fabric.balancer_address(),
            store,
        )?;
        shared.balancers.lock().push(Arc::new(balancer));
        Ok(())
    }

    /// Replaces the oldest balancer in a planned way.
    ///
    /// # Errors
    /// If no socket can be had.
    pub async fn replace_balancer(&self, grace: Duration) -> io::Result<()> {
        self.add_balancer()?;
        while !self.balancers().last().is_some_and(|balancer| balancer.is_ready()) {
            Timer::after(LOOK).await;
        }
        let old = self.balancers().remove(0);
        old.leave();
        // The fabric follows its readiness; datagrams under way are still forwarded.
        Timer::after(grace).await;
        self.shared.balancers.lock().retain(|balancer| !Arc::ptr_eq(balancer, &old));
        self.shared.fabric.remove(old.entry);
        old.stop();
        Ok(())
    }

    /// Stops the oldest balancer without warning. The fabric notices after `notice`.
    pub async fn crash_balancer(&self, notice: Duration) {
        let old = self.shared.balancers.lock().remove(0);
        old.stop();
        Timer::after(notice).await;
        self.shared.fabric.remove(old.entry);
    }

    /// Starts a backend server with its agent; returns it.
    ///
    /// # Errors
    /// If no socket can be had.
    pub fn add_target(&self, service: usize, domain: usize) -> io::Result<Arc<Target>> {
        let shared = &self.shared;
        let kind = &shared.deployment.services[service];
        let capacity = Capacity {
            slots: kind.slots,
            cold_slots: COLD_SLOTS,
            cold_start: COLD,
            request_time: WORK,
            cold_factor: 3,
        };
        let place = shared.record.add_backend();
        let record = shared.record.clone();
        let backend = Backend::start(&shared.pool, place, kind.name, capacity, record)?;
        let number = shared.next.fetch_add(1, Ordering::Relaxed);
        let settings = self
            .settings("agent", number, domain)
            .peers(self.balancers().iter().map(|balancer| balancer.exchange()))
            .agent(kind.name, backend.address(), "", "");
        let builder = self.builder(&settings.node);
        let identity = shared.identity.clone();
        let envelopes = shared.network.link(domain)?;
        let messages = shared.network.exchange_link(domain)?;
        let agent = builder.agent(&settings, identity, envelopes, messages)?;
        let target = Arc::new(Target::new(backend, number, service, domain, agent));
        shared.targets.lock().push(target.clone());
        Ok(target)
    }

    /// Takes a failure domain out or brings it back, as operators do; returns the revision.
    ///
    /// # Errors
    /// If the change is not accepted.
    pub async fn set_out(&self, domain: usize, out: bool) -> Result<u64, String> {
        if !out {
            // What comes back has been restarted.
            let back = self.targets();
            let back = back.iter().filter(|target| target.domain == domain);
            back.for_each(|target| target.backend.restart());
        }
        let name = self.shared.deployment.domains[domain];
        let revision = self.operator().set_out(name, out).await?;
        self.shared.network.set_out(domain, out);
        Ok(revision)
    }

    /// Settings of a process.
    fn settings(&self, role: &str, number: usize, domain: usize) -> settings::Builder {
        let deployment = &self.shared.deployment;
        let name = format!("{role}-{number}");
        Node::builder(&name, deployment.organisation, deployment.domains[domain])
    }

    /// A builder of a process.
    fn builder(&self, settings: &Node) -> Builder {
        let recorder = Recorder::new(settings.name.clone(), settings.domain.clone());
        let secret = self.shared.secret.clone();
        Builder::new(&self.shared.pool, settings, secret, recorder)
    }
}

impl Failures for Cluster {
    fn is_excused(&self, backend: Option<usize>) -> bool {
        let targets = self.shared.targets.lock();
        let excused = |target: &Arc<Target>| {
            target.gone() == Some(Gone::Crashed)
                || self.shared.network.was_out(target.domain)
        };
        match backend {
            Some(place) => targets.get(place).is_some_and(excused),
            None => targets.iter().any(excused),
        }
    }
}

/// A free port of loopback.
fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
