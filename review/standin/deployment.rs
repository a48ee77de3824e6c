//! A small deployment: the programs of the deploy file as processes on loopback addresses.

use std::fs::{self, File};
use std::io::BufReader;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Traffic};
use crate::http;
use crate::record;
use crate::store::Store;
use crate::target;

/// The interval of status reports, as on the sheet of the users.
pub const HEARTBEAT: Duration = Duration::from_millis(770);

/// Ports of the nodes.
const NODES: u16 = 7_720;
const PACKETS: u16 = 8_172;
const READY: u16 = 8_167;
const CONTROL: u16 = 8_166;
const OUTBOUND: u16 = 8_162;
const APP: u16 = 8_080;
const STORE: u16 = 8_169;

/// Ids of the running processes, for the watchdog.
static PIDS: Mutex<Vec<i32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Kills all processes that were started.
pub fn kill_all() {
    for pid in PIDS.lock().unwrap_or_else(|lock| lock.into_inner()).drain(..) {
        // SAFETY: a plain system call on a process that this one has started and not waited for.
        unsafe { kill(pid, SIGKILL) };
    }
}

/// A process of the project.
pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    program: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(format!("target/release/{}", self.program))
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        PIDS.lock().unwrap().push(child.id() as i32);
        record::note(format!("{} started", self.name));
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        let Some(child) = &self.child else { return };
        record::note(format!("{} gets signal {signal}", self.name));
        // SAFETY: as above.
        unsafe { kill(child.id() as i32, signal) };
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
            PIDS.lock().unwrap().retain(|pid| *pid != child.id() as i32);
            record::note(format!("{} ended", self.name));
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.signal(SIGKILL);
        self.wait();
    }
}

/// A side machine: its agent, and the settings of the target beside it.
pub struct Side {
    pub node: Node,
    pub target: target::Settings,
}

pub struct Deployment {
    net: [u8; 3],
    folder: PathBuf,
    pub store: Arc<Store>,
    pub fronts: Vec<Node>,
    pub sides: Vec<Side>,
}

/// A service as the operator configures it.
#[derive(Clone)]
pub struct Service {
    pub name: &'static str,
    pub cold: Duration,
    pub cold_per_s: f64,
}

/// A route as the operator configures it.
#[derive(Clone)]
pub struct Route {
    pub name: &'static str,
    /// `idempotent`, `non_idempotent` or `download`.
    pub kind: &'static str,
    pub address: SocketAddrV4,
    pub service: &'static str,
}

impl Deployment {
    /// Prepares a deployment with a front machine in each zone, and side machines given by
    /// zone and service. Starts the store only.
    pub fn new(zones: &[&str], sides: &[(&str, &str)]) -> std::io::Result<Self> {
        let net = free_net(zones.len(), sides.len())?;
        let folder = std::env::temp_dir()
            .join(format!("lentilreach-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::start(SocketAddr::V4(address(net, 2, STORE)))?;
        let mut deployment =
            Self { net, folder, store, fronts: Vec::new(), sides: Vec::new() };
        for (index, zone) in zones.iter().enumerate() {
            let host = 11 + index as u8;
            let node = deployment.node(&format!("front-{zone}-1"), zone, host, true)?;
            deployment.fronts.push(node);
        }
        for (index, (zone, service)) in sides.iter().enumerate() {
            let host = 31 + index as u8;
            let node = deployment.node(
                &format!("side-{zone}-{}", index + 1),
                zone,
                host,
                false,
            )?;
            let target = target::Settings {
                id: format!("i-{:08x}", 0x7f3a_91c2 + index),
                service: (*service).to_owned(),
                zone: (*zone).to_owned(),
                app: address(net, host, APP),
                outbound: address(net, host, OUTBOUND),
                control: address(net, host, CONTROL),
                heartbeat: HEARTBEAT,
                slots: 5,
                work: Duration::from_millis(30),
                cold: Duration::ZERO,
                cold_factor: 1.6,
            };
            deployment.sides.push(Side { node, target });
        }
        Ok(deployment)
    }

    fn node(
        &self,
        name: &str,
        zone: &str,
        host: u8,
        is_front: bool,
    ) -> std::io::Result<Node> {
        let (template, program) = if is_front {
            ("deploy/balancer.jsonc", "lentilreach-balancer")
        } else {
            ("deploy/agent.jsonc", "lentilreach-agent")
        };
        let net = self.net;
        let values = [
            ("node", name.to_owned()),
            ("zone", zone.to_owned()),
            ("ip", address(net, host, 0).ip().to_string()),
            ("internalPorts.0", NODES.to_string()),
            ("listen.datagramAddr", address(net, host, PACKETS).to_string()),
            ("listen.ready", address(net, host, READY).to_string()),
            ("listen.control", address(net, host, CONTROL).to_string()),
            ("listen.outbound", address(net, host, OUTBOUND).to_string()),
            ("platform.address", address(net, 2, STORE).to_string()),
            ("app", address(net, host, APP).to_string()),
            ("heartbeatMs", HEARTBEAT.as_millis().to_string()),
            ("limits.memoryMb", if is_front { "260" } else { "128" }.to_owned()),
            ("bounds.flowMaxS", "60".to_owned()),
            ("bounds.graceS", "6".to_owned()),
            ("bounds.coldOverage", "1.5".to_owned()),
            ("bounds.coldSlack", "5".to_owned()),
        ];
        let mut text = fs::read_to_string(template)?;
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), &value);
        }
        let settings = self.folder.join(format!("{name}.jsonc"));
        fs::write(&settings, text)?;
        let log = self.folder.join(format!("{name}.log"));
        Ok(Node {
            name: name.to_owned(),
            ip: *address(net, host, 0).ip(),
            program,
            settings,
            log,
            child: None,
        })
    }

    /// Address of a route. The pages only say that it is an address of the platform.
    pub fn route(&self, number: u8) -> SocketAddrV4 {
        address(self.net, 150 + number, 443)
    }

    /// Starts a client with a flow for each request, whose packets the router spreads over all
    /// fronts.
    pub fn client(
        &self,
        number: u8,
        route: &Route,
        per_s: f64,
    ) -> std::io::Result<Client> {
        self.client_with(number, route, per_s, 1, Duration::ZERO)
    }

    /// Starts a client with several requests in a flow.
    pub fn client_with(
        &self,
        number: u8,
        route: &Route,
        per_s: f64,
        requests: u32,
        pause: Duration,
    ) -> std::io::Result<Client> {
        let fronts = self.fronts.iter().map(|node| SocketAddrV4::new(node.ip, PACKETS));
        Client::start(Traffic {
            address: address(self.net, 200 + number, PACKETS),
            route: route.address,
            fronts: fronts.collect(),
            per_s,
            requests,
            pause,
            name: format!("{}-{number}", route.name),
        })
    }

    /// Writes a configuration. Returns when it was acknowledged.
    pub fn configure(&self, version: u64, routes: &[Route], services: &[Service]) -> f64 {
        let routes: Vec<String> = routes
            .iter()
            .map(|Route { name, kind, address, service }| {
                let (host, port) = (address.ip(), address.port());
                format!(
                    "{{\"name\":\"{name}\",\"host\":\"{host}\",\"prefix\":\"/{port}/\",\"service\":\"{service}\",\"routeType\":\"{kind}\",\"timeoutMs\":2000,\"aimMs\":250,\"maxAttempts\":2,\"priority\":2}}"
                )
            })
            .collect();
        let services: Vec<String> = services
            .iter()
            .map(|Service { name, cold, cold_per_s }| {
                let cold_s = cold.as_secs_f64();
                format!(
                    "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":2000,\"coldStartS\":{cold_s},\"coldPerS\":{cold_per_s}}}"
                )
            })
            .collect();
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"idleTimeoutMs\":15000}}}}",
            routes.join(","),
            services.join(",")
        );
        self.store.put("op/config", &text);
        record::note(format!("configuration {version} acknowledged"))
    }

    pub fn start_nodes(&mut self) -> std::io::Result<()> {
        for node in &mut self.fronts {
            node.start()?;
        }
        for side in &mut self.sides {
            side.node.start()?;
        }
        Ok(())
    }

    /// Waits until all fronts are ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(10);
        loop {
            if self.fronts.iter().all(|node| is_ready(node.ip)) {
                record::note("all fronts are ready");
                return Ok(());
            }
            if Instant::now() > end {
                return Err("the fronts were not ready within 10 s".into());
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let fronts = self.fronts.iter_mut();
        let nodes = fronts.chain(self.sides.iter_mut().map(|side| &mut side.node));
        nodes.filter_map(|node| node.has_ended().then(|| node.name.clone())).collect()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.fronts.clear();
        self.sides.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs in {}", self.folder.display());
        }
    }
}

fn is_ready(ip: Ipv4Addr) -> bool {
    let address = SocketAddr::from((ip, READY));
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500))
    else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let mut stream = BufReader::new(stream);
    matches!(http::call(&mut stream, "GET", "/lentilreach/readiness", ""), Ok(200))
}

fn address(net: [u8; 3], host: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(net[0], net[1], net[2], host), port)
}

/// A loopback network whose ports are free.
fn free_net(fronts: usize, sides: usize) -> std::io::Result<[u8; 3]> {
    let pid = std::process::id();
    for attempt in 0..50u32 {
        let seed = pid.wrapping_mul(2_654_435_761).wrapping_add(attempt * 7_919);
        let net = [127, 20 + (seed >> 8) as u8 % 200, (seed >> 16) as u8];
        let tcp = |host, port| TcpListener::bind(address(net, host, port)).is_ok();
        let udp = |host, port| UdpSocket::bind(address(net, host, port)).is_ok();
        let front = |host| tcp(host, READY) && udp(host, NODES) && udp(host, PACKETS);
        let side = |host| {
            [READY, CONTROL, APP].iter().all(|port| tcp(host, *port))
                && [NODES, OUTBOUND, APP].iter().all(|port| udp(host, *port))
        };
        let is_free = tcp(2, STORE)
            && (0..fronts as u8).all(|index| front(11 + index))
            && (0..sides as u8).all(|index| side(31 + index));
        if is_free {
            return Ok(net);
        }
    }
    Err(std::io::ErrorKind::AddrInUse.into())
}
