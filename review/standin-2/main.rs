//! Plays one case of this review: starts the project's programs as separate processes on
//! loopback addresses, with stand-ins for the store, the targets and the clients.
//!
//! Usage: `standin CASE FOLDER`, in the root of the repository. Writes `record.txt` into the
//! folder. With `TROUBLE=0` it does the same without the disruption. Exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case couldn't run.

mod cases;
mod client;
mod packet;
mod store;
mod target;

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio, exit};
use std::thread;
use std::time::{Duration, Instant};

use packet::Record;
use store::{Port, Store};

/// Ends the program because the case can't run.
pub fn give_up(cause: &str) -> ! {
    eprintln!("can't run: {cause}");
    exit(2)
}

/// The ports, the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub datagram: u16,
    pub ready: u16,
    pub control: u16,
    pub outbound: u16,
    pub nodes: u16,
    pub app: u16,
}

/// A machine with one process of the system.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub is_agent: bool,
    pub store: Port,
    folder: PathBuf,
    child: Option<Child>,
}

impl Machine {
    /// Starts its process.
    pub fn start(&mut self) {
        let program =
            if self.is_agent { "lentilreach-agent" } else { "lentilreach-balancer" };
        let log = self.folder.join(format!("{}.log", self.name));
        let log =
            File::options().create(true).append(true).open(log).expect("a log file");
        let child = Command::new(format!("target/release/{program}"))
            .arg("--settings")
            .arg(self.folder.join(format!("{}.jsonc", self.name)))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => give_up(&format!("{program}: {error}")),
        }
    }

    /// Kills its process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether its process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| child.try_wait().is_ok_and(|end| end.is_some()))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A small deployment.
pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub ports: Ports,
    pub machines: Vec<Machine>,
    /// The second octet of all addresses.
    net: u8,
    folder: PathBuf,
}

impl Deployment {
    /// Creates a deployment of balancers and agents, without starting them.
    pub fn new(balancers: u8, agents: u8) -> Self {
        let pid = std::process::id();
        let net = 16 + (pid % 200) as u8;
        let folder = std::env::temp_dir().join(format!("lentilreach-review-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let free = || {
            let ip = Ipv4Addr::new(127, net, 1, 1);
            let udp = UdpSocket::bind((ip, 0)).expect("a free port");
            let port = udp.local_addr().expect("bound").port();
            TcpListener::bind((ip, port)).map(|_| port)
        };
        let mut found = Vec::new();
        while found.len() < 6 {
            if let Ok(port) = free()
                && !found.contains(&port)
            {
                found.push(port);
            }
        }
        let ports = Ports {
            datagram: found[0],
            ready: found[1],
            control: found[2],
            outbound: found[3],
            nodes: found[4],
            app: found[5],
        };
        let store = Store::new();
        let mut deployment = Self {
            record: Record::new(),
            store,
            ports,
            machines: Vec::new(),
            net,
            folder,
        };
        for index in 1..=balancers + agents {
            deployment.add(index, index > balancers);
        }
        deployment
    }

    /// An address of the deployment.
    pub fn ip(&self, part: u8, index: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, part, index)
    }

    /// The address of a route.
    pub fn route(&self, index: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(200, index), 443)
    }

    fn add(&mut self, index: u8, is_agent: bool) {
        let ip = self.ip(1, index);
        let store = self.store.open(&self.ip(7, index).to_string());
        let name =
            if is_agent { format!("side-{index}") } else { format!("front-{index}") };
        let Ports { datagram, ready, control, outbound, nodes, app } = self.ports;
        let template =
            if is_agent { "deploy/agent.jsonc" } else { "deploy/balancer.jsonc" };
        let text = fs::read_to_string(template)
            .unwrap_or_else(|error| give_up(&format!("{template}: {error}")));
        let values = [
            ("node", name.clone()),
            ("zone", "raum-nord".into()),
            ("listen.outbound", format!("{ip}:{outbound}")),
            ("listen.control", format!("{ip}:{control}")),
            ("listen.datagramAddr", format!("{ip}:{datagram}")),
            ("listen.ready", format!("{ip}:{ready}")),
            ("ip", ip.to_string()),
            ("internalPorts.0", nodes.to_string()),
            ("platform.address", store.address.to_string()),
            ("limits.memoryMb", if is_agent { "128" } else { "260" }.into()),
            ("bounds.flowMaxS", "60".into()),
            ("bounds.graceS", "6".into()),
            ("app", format!("{ip}:{app}")),
            ("heartbeatMs", "770".into()),
            ("bounds.coldOverage", "1.5".into()),
            ("bounds.coldSlack", "5".into()),
        ];
        let text = values.iter().fold(text, |text, (name, value)| {
            text.replace(&format!("{{{{{name}}}}}"), value)
        });
        if text.contains("{{") {
            give_up("a placeholder of the template is not known");
        }
        fs::write(self.folder.join(format!("{name}.jsonc")), text)
            .expect("a settings file");
        let folder = self.folder.clone();
        self.machines.push(Machine { name, ip, is_agent, store, folder, child: None });
    }

    /// Writes a configuration with routes to services, as the operator does. The first route
    /// has the address of [`Self::route`] with 1, and so on.
    pub fn configure(&self, version: u64, routes: &[&str], cold_per_s: f64) {
        let mut names = routes.to_vec();
        names.sort_unstable();
        names.dedup();
        let services: Vec<String> = names
            .iter()
            .map(|name| {
                format!(
                    r#"{{"name":"{name}","healthPath":"/health","maxConns":2000,"protocol":"h1","tls":false,"coldStartS":2.0,"coldPerS":{cold_per_s:?}}}"#
                )
            })
            .collect();
        let routes: Vec<String> = (1..)
            .zip(routes)
            .map(|(index, service)| {
                let host = *self.route(index).ip();
                format!(
                    r#"{{"name":"r-{index}","host":"{host}","prefix":"/443/","routeType":"non_idempotent","timeoutMs":5000,"aimMs":500,"priority":2,"service":"{service}","maxAttempts":2}}"#
                )
            })
            .collect();
        let (routes, services) = (routes.join(","), services.join(","));
        let text = format!(
            r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
        );
        self.store.put("op/config", &text);
        self.record.note(format!("configuration {version} is acknowledged: {routes}"));
    }

    /// The machine with a name like `side-2`.
    pub fn machine(&mut self, name: &str) -> &mut Machine {
        let found = self.machines.iter_mut().find(|machine| machine.name == name);
        found.unwrap_or_else(|| panic!("no machine {name}"))
    }

    /// The addresses at which balancers receive packets of clients.
    pub fn balancers(&self) -> Vec<SocketAddrV4> {
        let balancers = self.machines.iter().filter(|machine| !machine.is_agent);
        balancers
            .map(|machine| SocketAddrV4::new(machine.ip, self.ports.datagram))
            .collect()
    }

    /// What a target beside an agent is started with.
    pub fn setup(&self, machine: &str, id: &str, service: &str) -> target::Setup {
        let found = self.machines.iter().find(|known| known.name == machine);
        let ip = found.unwrap_or_else(|| panic!("no machine {machine}")).ip;
        target::Setup {
            id: id.into(),
            service: service.into(),
            app: SocketAddrV4::new(ip, self.ports.app),
            outbound: SocketAddrV4::new(ip, self.ports.outbound),
            control: SocketAddrV4::new(ip, self.ports.control),
            slots: 5,
            work: Duration::from_millis(15),
            cold: Duration::ZERO,
            beat: Duration::from_millis(770),
            seq: 0,
        }
    }

    /// Starts all processes.
    pub fn start(&mut self) {
        for machine in &mut self.machines {
            machine.start();
        }
        self.record.note("all processes of the system are started");
    }

    /// Waits until all balancers are ready, and a while more.
    pub fn wait_until_ready(&mut self) {
        let end = Instant::now() + Duration::from_secs(15);
        let addresses: Vec<_> = self
            .machines
            .iter()
            .filter(|machine| !machine.is_agent)
            .map(|machine| SocketAddrV4::new(machine.ip, self.ports.ready))
            .collect();
        while !addresses.iter().all(|address| is_ready(*address)) {
            if Instant::now() > end {
                give_up("the balancers don't become ready");
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.note("all balancers are ready");
        thread::sleep(Duration::from_secs(4));
    }

    /// Fails if a process has ended by itself.
    pub fn check_running(&mut self) {
        if let Some(machine) = self.machines.iter_mut().find_map(|machine| {
            if machine.has_ended() { Some(machine.name.clone()) } else { None }
        }) {
            self.record.note(format!("the process of {machine} has ended by itself"));
        }
    }

    /// Ends all processes, and removes the temporary folder.
    pub fn end(mut self) {
        self.machines.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
    }
}

/// Whether a balancer says that it is ready.
fn is_ready(address: SocketAddrV4) -> bool {
    let second = Duration::from_secs(1);
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address.into(), second)?;
        stream.set_read_timeout(Some(second))?;
        stream.write_all(
            b"GET /lentilreach/readiness HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        )?;
        let mut answer = [0; 64];
        let length = stream.read(&mut answer)?;
        Ok(String::from_utf8_lossy(&answer[..length]).contains(" 200 "))
    };
    ask().unwrap_or(false)
}

/// Sleeps until a number of seconds after the start of the record.
pub fn wait_until(record: &Record, at: f64) {
    let left = at - record.now();
    if left > 0.0 {
        thread::sleep(Duration::from_secs_f64(left));
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else { give_up("usage: standin CASE FOLDER") };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (text, broken) = cases::play(case, with_trouble);
    let verdict = match &broken {
        Some(what) => format!("BROKEN: {what}"),
        None => "held".to_owned(),
    };
    let path = PathBuf::from(folder).join("record.txt");
    let text = format!("{text}\ntrouble: {with_trouble}\n{verdict}\n");
    if let Err(error) = fs::write(&path, text) {
        give_up(&format!("{}: {error}", path.display()));
    }
    println!("{case}: {verdict}");
    exit(i32::from(broken.is_some()));
}
