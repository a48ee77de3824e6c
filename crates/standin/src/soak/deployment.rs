//! Starts everything and plays the schedule.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use lentilreach::process::pool::Pool;
use lentilreach::process::store::Txn;
use lentilreach_platform_standin::document::{self, Route};
use lentilreach_platform_standin::report::{self, Report};
use lentilreach_platform_standin::{settings as template, store};
use lentilreach_steer::process::roster::membership;
use parking_lot::Mutex;
use smol::Task;

use super::backend::{self, Server};
use super::caller::Caller;
use super::layout::{self, Layout, SERVICES};
use super::process::{self, Process};
use super::record::{Fact, Record, Scope};
use super::router::Router;
use super::schedule::{self, Action, Node, Step, Store};
use super::{Error, Played, Settings, http, sleep};
use crate::store::{Builder, Handle, Memory, Outage};

/// Number of worker threads of callers and backend servers.
const THREADS: usize = 2;

/// Number of routers.
const ROUTERS: usize = 2;

/// Time within which the deployment must become ready, in milliseconds.
const READY_TIMEOUT_MS: u64 = 30_000;

/// Time after that in which all processes hear of each other, in milliseconds.
const SETTLE_MS: u64 = 2_500;

/// Longest life of a flow, in seconds. A flow of a caller ends before.
const FLOW_S: u64 = 60;

/// Idle time after which a flow may be dropped, in milliseconds: longer than any pause.
const IDLE_MS: u64 = 15_000;

/// Largest number of flows of a backend server.
const MAX_FLOWS: u32 = 500;

/// Memory limit of a daemon, in megabytes.
const MEMORY_MB: u64 = 64;

/// Number of keys in a page of the store.
const PAGE: usize = 100;

/// Interval at which this process checks that it is not standing still, in milliseconds.
const OWN_CHECK_MS: u64 = 20;

/// A running deployment. Dropping it kills its processes.
#[derive(Debug)]
pub(super) struct Deployment {
    /// What steps of the schedule share.
    stage: Arc<Stage>,
    /// Tasks of routers, callers and the store.
    _tasks: Vec<Task<()>>,
    /// Serves the store.
    _store: store::Server,
}

impl Drop for Deployment {
    /// Kills all processes. Steps of the schedule may still run, but start no other ones.
    fn drop(&mut self) {
        for process in self.stage.balancers.iter().chain(&self.stage.agents) {
            process.end();
        }
    }
}

/// What steps of the schedule share. The schedule has one step at a time for each process and
/// backend server.
#[derive(Debug)]
struct Stage {
    /// The addresses.
    layout: Layout,
    /// Balancers by number.
    balancers: Vec<Process>,
    /// Agents by number.
    agents: Vec<Process>,
    /// Backend servers by number.
    servers: Vec<smol::lock::Mutex<Option<Server>>>,
    /// Injects faults of the store.
    store: Handle,
    /// Version of the last configuration.
    version: Mutex<u64>,
    /// The last configuration. Written while `version` is locked.
    config: Mutex<Vec<u8>>,
    /// The failure domain that is out of service. Written in the store while it is locked.
    out: Mutex<Option<&'static str>>,
    /// What was seen.
    record: Record,
    /// Runs callers, backend servers and the store.
    pool: Pool,
    /// Longest time for which this process itself stood still, in milliseconds.
    own_pause_ms: AtomicU64,
}

impl Deployment {
    /// Starts everything and waits until it serves.
    pub async fn start(
        layout: Layout,
        settings: &Settings,
        folder: &Path,
        record: &Record,
    ) -> Result<Self, Error> {
        let pool = Pool::new(THREADS).map_err(|e| Error::new("threads", "system", e))?;
        let memory: Memory = Builder::new().memory();
        let handle = memory.handle().clone();
        let address = layout.store();
        let server = store::Server::bind(&pool, memory, address, PAGE).await;
        let server = server.map_err(|e| Error::new("listen", address, e))?;
        let daemons = Daemons { layout, settings, folder };
        let stage = Arc::new(Stage {
            layout,
            balancers: (0..layout.balancers)
                .map(|number| daemons.balancer(number))
                .collect::<Result<_, _>>()?,
            agents: (0..layout.agents)
                .map(|number| daemons.agent(number))
                .collect::<Result<_, _>>()?,
            servers: (0..layout.agents).map(|_| smol::lock::Mutex::new(None)).collect(),
            store: handle,
            version: Mutex::new(0),
            config: Mutex::default(),
            out: Mutex::default(),
            record: record.clone(),
            pool: pool.clone(),
            own_pause_ms: AtomicU64::new(0),
        });
        stage.configure()?;
        for number in 0..layout.agents {
            stage.start_server(number).await?;
        }
        let ips: Vec<_> = (0..layout.balancers).map(|n| layout.balancer(n)).collect();
        let (routers, checks): (Vec<_>, Vec<_>) =
            (0..ROUTERS).map(|_| Router::start(&pool, &ips)).unzip();
        let mut tasks: Vec<_> = checks.into_iter().flatten().collect();
        wait_until_ready(&routers, ips.len(), folder).await?;
        for number in 0..layout.callers {
            let router = routers[usize::from(number) % routers.len()].clone();
            let caller =
                Caller::new(&layout, number, router, record.clone(), settings.seed);
            let caller =
                caller.map_err(|e| Error::new("listen", layout.caller(number), e))?;
            tasks.push(pool.spawn(caller.run()));
        }
        tasks.push(pool.spawn(stage.clone().watch_own_pauses()));
        Ok(Self { stage, _tasks: tasks, _store: server })
    }

    /// Plays the schedule. Its times count from now on, and those of the record as well.
    pub async fn play(
        &mut self,
        settings: &Settings,
        progress: &impl Fn(&str),
    ) -> Result<Played, Error> {
        let steps = schedule::draw(settings.seed, settings.seconds, settings.size);
        let offset_ms = self.stage.record.now_ms();
        let mut running = Vec::new();
        for step in &steps {
            sleep((offset_ms + step.at_ms).saturating_sub(self.stage.record.now_ms()))
                .await;
            progress(&step.to_string());
            running.push(self.stage.pool.spawn(self.stage.clone().take(*step)));
        }
        for step in running {
            step.await?;
        }
        let end_ms = offset_ms + settings.seconds * 1_000;
        sleep(end_ms.saturating_sub(self.stage.record.now_ms())).await;
        let mut events = self.stage.record.events();
        // Before the start of the schedule only the state of the backend servers counts.
        for event in &mut events {
            event.at_ms = event.at_ms.saturating_sub(offset_ms);
        }
        let own_pause_ms = self.stage.own_pause_ms.load(Ordering::Relaxed);
        Ok(Played { steps: steps.len(), events, own_pause_ms })
    }
}

impl Stage {
    /// Takes a step of the schedule to its end.
    async fn take(self: Arc<Self>, step: Step) -> Result<(), Error> {
        match step.action {
            Action::Pause(node, ms) => {
                let process = self.process(node);
                self.fault(&step, self.scope(node), true);
                process.pause();
                sleep(ms).await;
                process.resume();
                self.fault(&step, self.scope(node), false);
            }
            Action::Stop(node, ms) | Action::Kill(node, ms) => {
                let process = self.process(node);
                self.fault(&step, self.scope(node), true);
                match step.action {
                    Action::Stop(..) => process.stop().await,
                    _ => process.kill(),
                }
                sleep(ms).await;
                process.restart().map_err(|e| Error::new("start", node, e))?;
                self.fault(&step, self.scope(node), false);
            }
            Action::Drain(number, ms) | Action::Lose(number, ms) => {
                let mut slot = self.servers[usize::from(number)].lock().await;
                self.fault(&step, Scope::Server(number), true);
                let server = slot.take();
                if let (Action::Drain(..), Some(server)) = (step.action, &server) {
                    server.drain();
                    sleep(schedule::DRAIN_MS).await;
                }
                match (step.action, server) {
                    (Action::Drain(..), Some(server)) => server.leave().await,
                    (_, Some(server)) => server.end(),
                    (_, None) => {}
                }
                sleep(ms).await;
                *slot = Some(self.server(number)?);
                self.fault(&step, Scope::Server(number), false);
            }
            Action::Store(fault, ms) => {
                self.fault(&step, Scope::Store, true);
                match fault {
                    Store::Away => self.store.start_outage(Outage::Refuse),
                    Store::Hangs => self.store.start_outage(Outage::Hang),
                    Store::Slow(by_ms) => self.store.set_delay_ms(by_ms),
                }
                sleep(ms).await;
                self.store.end_outage();
                self.store.set_delay_ms(0);
                self.fault(&step, Scope::Store, false);
            }
            Action::LoseAnswer => self.store.drop_next_response(),
            Action::Revoke(node) => {
                let address = layout::nodes(self.ip(node));
                let key = format!("{}{address}", membership::PREFIX);
                self.store.lease(&key).map(|lease| self.store.expire_lease(lease));
            }
            Action::Configure => self.configure()?,
            Action::Return(age_ms) => {
                self.store.take_copy();
                sleep(age_ms).await;
                self.fault(&step, Scope::Store, true);
                self.store.start_outage(Outage::Refuse);
                sleep(schedule::AWAY_MS).await;
                self.store.return_to_copy();
                self.write_again()?;
                self.store.end_outage();
                self.fault(&step, Scope::Store, false);
            }
            Action::Evacuate(number, ms) => {
                let domain = layout::domain(number);
                self.evacuate(domain, true)?;
                sleep(ms).await;
                self.evacuate(domain, false)?;
            }
            Action::OddReport(number, fault) => self.report_oddly(number, fault).await?,
        }
        Ok(())
    }

    /// Writes the next configuration. The services of the second address take turns, by
    /// weights that change as well.
    fn configure(&self) -> Result<(), Error> {
        let mut version = self.version.lock();
        *version += 1;
        let [first, second, third] = layout::routes();
        let [abo, one, other] = SERVICES;
        let services = match *version % 4 {
            1 => vec![(one, 1)],
            2 => vec![(one, 1), (other, 3)],
            3 => vec![(other, 1)],
            _ => vec![(one, 3), (other, 1)],
        };
        let routes = [
            Route { address: first, services: vec![(abo, 1)], priority: 1 },
            Route { address: second, services, priority: 1 },
            // Competes with the first one for the same slots.
            Route { address: third, services: vec![(abo, 1)], priority: 2 },
        ];
        let value = document::config(*version, &routes, MAX_FLOWS, IDLE_MS);
        self.write(document::CONFIG_KEY, Some(value.clone()))?;
        *self.config.lock() = value;
        let routes = routes.iter().map(|route| {
            let services = route.services.iter().map(|(name, _)| *name);
            (route.address, services.collect())
        });
        let (version, routes) = (*version, routes.collect());
        self.record.add(Fact::Configured { version, routes });
        Ok(())
    }

    /// Takes a failure domain out of service, or returns it to service.
    fn evacuate(&self, domain: &'static str, is_out: bool) -> Result<(), Error> {
        let mut out = self.out.lock();
        *out = is_out.then_some(domain);
        self.write(&document::evacuation_key(domain), is_out.then(|| b"{}".to_vec()))?;
        self.record.add(Fact::Evacuated { domain, is_out });
        Ok(())
    }

    /// Writes all documents as they were written last, since the store may have lost that.
    fn write_again(&self) -> Result<(), Error> {
        let version = self.version.lock();
        self.write(document::CONFIG_KEY, Some(self.config.lock().clone()))?;
        drop(version);
        let out = self.out.lock();
        for number in 0..2 {
            let domain = layout::domain(number);
            let value = (*out == Some(domain)).then(|| b"{}".to_vec());
            self.write(&document::evacuation_key(domain), value)?;
        }
        Ok(())
    }

    /// Writes or deletes a document as an operator, whatever fault the store has.
    fn write(&self, key: &str, value: Option<Vec<u8>>) -> Result<(), Error> {
        let txn = match value {
            Some(value) => Txn::new().put(key, value),
            None => Txn::new().delete(key),
        };
        self.store.write(&txn).map(|_| ()).map_err(|error| {
            let cause = std::io::Error::other(format!("{error:?}"));
            Error::new("write", key, cause)
        })
    }

    /// Sends a status report of another writer to an agent. If it were valid, it would replace
    /// the backend server by one of another service.
    async fn report_oddly(&self, number: u8, fault: u8) -> Result<(), Error> {
        let ip = self.layout.agent(number);
        let report = Report {
            id: format!("odd-{fault}"),
            service: layout::service(number.wrapping_add(2)),
            address: layout::server(ip),
            domain: layout::domain(number).into(),
            slots: 1,
            is_draining: false,
            sequence: 1,
            started_ms: u64::MAX / 2,
        };
        let path = report::path(&report.id);
        let body = report.odd_body(fault.into());
        let answer = http::call(layout::reports(ip), "PUT", &path, &body).await;
        // An agent that is stopped or stands still doesn't answer.
        if answer.unwrap_or(false) {
            let cause = std::io::Error::other(format!("accepted: {body}"));
            return Err(Error::new(
                "reject an odd report",
                format!("agent-{number}"),
                cause,
            ));
        }
        Ok(())
    }

    /// Starts a backend server for the first time.
    async fn start_server(&self, number: u8) -> Result<(), Error> {
        *self.servers[usize::from(number)].lock().await = Some(self.server(number)?);
        Ok(())
    }

    /// Starts a lifetime of a backend server.
    fn server(&self, number: u8) -> Result<Server, Error> {
        let server = Server::start(&self.pool, &self.layout, number, &self.record);
        server.map_err(|e| Error::new("listen", format!("server-{number}"), e))
    }

    /// The process of a node.
    fn process(&self, node: Node) -> &Process {
        match node {
            Node::Balancer(number) => &self.balancers[usize::from(number)],
            Node::Agent(number) => &self.agents[usize::from(number)],
        }
    }

    /// The address of a node's machine.
    fn ip(&self, node: Node) -> std::net::Ipv4Addr {
        match node {
            Node::Balancer(number) => self.layout.balancer(number),
            Node::Agent(number) => self.layout.agent(number),
        }
    }

    /// What a fault of a node affects.
    fn scope(&self, node: Node) -> Scope {
        match node {
            Node::Balancer(_) => Scope::Balancer(layout::callers(self.ip(node))),
            Node::Agent(number) => Scope::Agent(number),
        }
    }

    /// Records that a fault begins or ends.
    fn fault(&self, step: &Step, scope: Scope, begins: bool) {
        self.record.add(Fact::Fault { what: step.to_string(), scope, begins });
    }

    /// Measures for how long this process itself stands still, until it is cancelled.
    async fn watch_own_pauses(self: Arc<Self>) {
        loop {
            let start = Instant::now();
            sleep(OWN_CHECK_MS).await;
            let late_ms =
                (start.elapsed().as_millis() as u64).saturating_sub(OWN_CHECK_MS);
            self.own_pause_ms.fetch_max(late_ms, Ordering::Relaxed);
        }
    }
}

/// Starts daemons with the settings of their templates.
struct Daemons<'a> {
    /// The addresses.
    layout: Layout,
    /// Settings of the run.
    settings: &'a Settings,
    /// Folder for settings and logs.
    folder: &'a Path,
}

impl Daemons<'_> {
    /// Starts a balancer.
    fn balancer(&self, number: u8) -> Result<Process, Error> {
        let node = Node::Balancer(number);
        let settings = template::balancer(&self.node(node, self.layout.balancer(number)));
        self.start("lentilreach-balancer", node, &settings)
    }

    /// Starts an agent.
    fn agent(&self, number: u8) -> Result<Process, Error> {
        let (node, ip) = (Node::Agent(number), self.layout.agent(number));
        let agent = template::Agent {
            backend: layout::backend(ip),
            reports: layout::reports(ip),
            server: layout::server(ip),
            report_ms: backend::REPORT_MS,
        };
        let settings = template::agent(&self.node(node, ip), &agent);
        self.start("lentilreach-agent", node, &settings)
    }

    /// Starts a daemon.
    fn start(&self, program: &str, node: Node, settings: &str) -> Result<Process, Error> {
        let program = self.settings.programs.join(program);
        let process = Process::start(program, self.folder, &node.to_string(), settings);
        process.map_err(|e| Error::new("start", node, e))
    }

    /// The settings that both daemons have.
    fn node(&self, node: Node, ip: std::net::Ipv4Addr) -> template::Node {
        let number = match node {
            Node::Balancer(number) | Node::Agent(number) => number,
        };
        template::Node {
            name: node.to_string(),
            domain: layout::domain(number),
            nodes: layout::nodes(ip).into(),
            callers: layout::callers(ip),
            ready: layout::ready(ip),
            store: self.layout.store(),
            memory_mb: MEMORY_MB,
            flow_s: FLOW_S,
            stop_s: process::STOP_S,
        }
    }
}

/// Waits until all balancers are ready, and then until all processes have heard of each other.
async fn wait_until_ready(
    routers: &[Router],
    balancers: usize,
    folder: &Path,
) -> Result<(), Error> {
    let start = Instant::now();
    while routers.iter().any(|router| router.ready() < balancers) {
        if start.elapsed().as_millis() as u64 > READY_TIMEOUT_MS {
            return Err(Error::NotReady { logs: folder.to_path_buf() });
        }
        sleep(OWN_CHECK_MS).await;
    }
    sleep(SETTLE_MS).await;
    Ok(())
}
