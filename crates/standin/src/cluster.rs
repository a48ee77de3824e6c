//! Runs all balancers and agents of a deployment within one process, over loopback sockets.

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
use crate::target::{Exit, Target};
use crate::tls;

/// Number of balancers in a deployment.
const BALANCERS: usize = 4;

/// Duration of a cold start. Shorter than in production, so that short runs include several.
pub const COLD_START: Duration = Duration::from_millis(1_000);

/// Processing time of a request on a warm backend server.
const REQUEST_TIME: Duration = Duration::from_millis(15);

/// Concurrent requests that a cold backend server may run.
pub const COLD_SLOTS: u16 = 1;

/// Timeout for all processes to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which the state of processes is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running deployment. Clones share its state.
#[derive(Debug, Clone)]
pub struct Cluster {
    /// Shared by all clones.
    shared: Arc<Shared>,
}

/// Shared state of a [`Cluster`].
#[derive(Debug)]
struct Shared {
    /// Runs all tasks.
    pool: Pool,
    /// The deployment, with the service addresses that the fabric has bound.
    deployment: Deployment,
    /// Fraction of the deployment's connections.
    scale: f64,
    /// What callers and backend servers observed.
    record: Record,
    /// The emulated network.
    network: Network,
    /// Distributes datagrams over balancers.
    fabric: Fabric,
    /// The stand-in for the platform's store.
    store: store::Server,
    /// Submits configuration changes.
    operator: Operator,
    /// The certificate that callers trust, with its key.
    identity: Identity,
    /// The fleet secret.
    secret: Secret,
    /// Number of the next process to start.
    next: AtomicUsize,
    /// Running balancers, oldest first.
    balancers: Mutex<Vec<Arc<Instance>>>,
    /// Targets by number, including stopped ones.
    targets: Mutex<Vec<Arc<Target>>>,
}

impl Cluster {
    /// Starts a deployment and waits until all processes are ready.
    ///
    /// # Errors
    /// Returns an error if a socket or certificate cannot be created, or a process does not
    /// become ready.
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
        let requested: Vec<_> = deployment.services.iter().map(|s| s.address).collect();
        let (fabric, addresses) = Fabric::start(
            pool,
            network.clone(),
            deployment.caller_delay,
            &requested,
            seed,
        )?;
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
        let end = Instant::now() + START_TIMEOUT;
        while !self.is_ready() {
            if Instant::now() > end {
                return Err(io::Error::other("a process did not become ready in 30 s"));
            }
            Timer::after(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// The deployment, with the service addresses that the fabric has bound.
    pub fn deployment(&self) -> &Deployment {
        &self.shared.deployment
    }

    /// The certificate that callers trust, with its key.
    pub fn identity(&self) -> &Identity {
        &self.shared.identity
    }

    /// What callers and backend servers observed.
    pub fn record(&self) -> &Record {
        &self.shared.record
    }

    /// The emulated network.
    pub fn network(&self) -> &Network {
        &self.shared.network
    }

    /// The stand-in for the platform's store.
    pub fn store(&self) -> &store::Handle {
        self.shared.store.handle()
    }

    /// Submits configuration changes.
    pub fn operator(&self) -> &Operator {
        &self.shared.operator
    }

    /// Targets by number, including stopped ones.
    pub fn targets(&self) -> Vec<Arc<Target>> {
        self.shared.targets.lock().clone()
    }

    /// Running balancers, oldest first.
    pub fn balancers(&self) -> Vec<Arc<Instance>> {
        self.shared.balancers.lock().clone()
    }

    /// Number of flows per backend server, according to the scale.
    pub fn flows_per_target(&self) -> u32 {
        (CONNECTIONS * self.shared.scale).round().max(1.0) as u32
    }

    /// Whether all processes are ready and every balancer knows every agent.
    fn is_ready(&self) -> bool {
        let targets = self.targets();
        let count = targets.len();
        targets.iter().all(|target| target.is_ready())
            && self
                .balancers()
                .iter()
                .all(|balancer| balancer.is_ready() && balancer.members() == count)
    }

    /// The process number and configuration revision in force of each running process.
    pub fn revisions(&self) -> Vec<(usize, u64)> {
        let balancers = self.balancers();
        let targets = self.targets();
        let balancers =
            balancers.iter().map(|balancer| (balancer.number, balancer.revision()));
        let targets = targets.iter().filter(|target| target.exit().is_none());
        balancers
            .chain(targets.map(|target| (target.number, target.revision())))
            .collect()
    }

    /// Waits until a revision is in force at every process and returns the time that it took,
    /// or `None` after the timeout `timeout`.
    pub async fn wait_until_in_force(
        &self,
        revision: u64,
        timeout: Duration,
    ) -> Option<Duration> {
        let start = Instant::now();
        while self.revisions().iter().any(|(_, other)| *other < revision) {
            if start.elapsed() > timeout {
                return None;
            }
            Timer::after(POLL_INTERVAL / 4).await;
        }
        Some(start.elapsed())
    }

    /// Adds ready balancers to the fabric and removes others, as the platform does.
    pub async fn track_readiness(self) {
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
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Starts a balancer. The fabric uses it as soon as it is ready.
    ///
    /// # Errors
    /// Returns an error if no socket can be bound.
    pub fn add_balancer(&self) -> io::Result<()> {
        let shared = &self.shared;
        let number = shared.next.fetch_add(1, Ordering::Relaxed);
        let domain = number % shared.deployment.domains.len();
        let settings = self.settings("balancer", number, domain);
        let store = client::Settings::builder().endpoint(shared.store.address()).build();
        let store = client::connect(store, shared.pool.clone())?;
        let builder = self.builder(&settings.clone().balancer(loopback()).node);
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

    /// Replaces the oldest balancer gracefully. It keeps forwarding for `grace` after its
    /// announcement.
    ///
    /// # Errors
    /// Returns an error if no socket can be bound.
    pub async fn replace_balancer(&self, grace: Duration) -> io::Result<()> {
        self.add_balancer()?;
        while !self.balancers().last().is_some_and(|balancer| balancer.is_ready()) {
            Timer::after(POLL_INTERVAL).await;
        }
        let old = self.balancers().remove(0);
        old.leave();
        // The fabric removes it as it is no longer ready; datagrams in flight are forwarded.
        Timer::after(grace).await;
        self.shared.balancers.lock().retain(|balancer| !Arc::ptr_eq(balancer, &old));
        self.shared.fabric.remove(old.entry);
        old.stop();
        Ok(())
    }

    /// Stops the oldest balancer abruptly. The fabric detects this after `detection_delay`.
    pub async fn crash_balancer(&self, detection_delay: Duration) {
        let old = self.shared.balancers.lock().remove(0);
        old.stop();
        Timer::after(detection_delay).await;
        self.shared.fabric.remove(old.entry);
    }

    /// Starts a backend server with its agent.
    ///
    /// # Errors
    /// Returns an error if no socket can be bound.
    pub fn add_target(&self, service: usize, domain: usize) -> io::Result<Arc<Target>> {
        let shared = &self.shared;
        let kind = &shared.deployment.services[service];
        let capacity = Capacity {
            slots: kind.slots,
            cold_slots: COLD_SLOTS,
            cold_start: COLD_START,
            request_time: REQUEST_TIME,
            cold_factor: 3,
        };
        let index = shared.record.add_backend();
        let record = shared.record.clone();
        let backend = Backend::start(&shared.pool, index, kind.name, capacity, record)?;
        let number = shared.next.fetch_add(1, Ordering::Relaxed);
        let settings = self
            .settings("agent", number, domain)
            .peers(self.balancers().iter().map(|balancer| balancer.gossip_address()))
            .agent(kind.name, backend.address(), "", "");
        let builder = self.builder(&settings.node);
        let identity = shared.identity.clone();
        let envelopes = shared.network.link(domain)?;
        let messages = shared.network.gossip_link(domain)?;
        let agent = builder.agent(&settings, identity, envelopes, messages)?;
        let target = Arc::new(Target::new(backend, number, service, domain, agent));
        shared.targets.lock().push(target.clone());
        Ok(target)
    }

    /// Takes a failure domain out of service or brings it back, as operators do. Returns the
    /// configuration revision.
    ///
    /// # Errors
    /// Returns an error if the change is not accepted.
    pub async fn set_out(&self, domain: usize, out: bool) -> Result<u64, String> {
        if !out {
            // Backend servers are restarted before their failure domain returns to service.
            let returning = self.targets();
            let returning = returning.iter().filter(|target| target.domain == domain);
            returning.for_each(|target| target.backend.restart());
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

    /// A builder for a process.
    fn builder(&self, settings: &Node) -> Builder {
        let recorder = Recorder::new(settings.name.clone(), settings.domain.clone());
        let secret = self.shared.secret.clone();
        Builder::new(&self.shared.pool, settings, secret, recorder)
    }
}

impl Failures for Cluster {
    fn is_excused(&self, backend: Option<usize>) -> bool {
        let targets = self.shared.targets.lock();
        let is_explained = |target: &Arc<Target>| {
            target.exit() == Some(Exit::Crashed)
                || self.shared.network.was_out(target.domain)
        };
        match backend {
            Some(index) => targets.get(index).is_some_and(is_explained),
            None => targets.iter().any(is_explained),
        }
    }
}

/// The loopback address with port 0, which selects a free port.
fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
