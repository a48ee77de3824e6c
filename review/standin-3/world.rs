//! Starts the project's programs as the deploy file says, and keeps the record of a run.

#![allow(dead_code)]

use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::store::Store;

/// Ports are the same on all machines.
pub const DATAGRAM: u16 = 8172;
pub const READY: u16 = 8167;
pub const CONTROL: u16 = 8166;
pub const INTERNAL: u16 = 7720;
pub const APP: u16 = 8165;
pub const OUTBOUND: u16 = 8162;
pub const STORE: u16 = 8169;

/// Interval of status reports, as in the settings of the sheets.
pub const HEARTBEAT: Duration = Duration::from_millis(770);

/// The record of a run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:7.3} {text}", now as f64 / 1_000.0);
    }
}

/// A machine with one process of the system.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    is_front: bool,
    /// The service of the target beside it, for a `side` machine.
    pub service: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Machine {
    pub fn at(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, port)
    }

    /// Whether a readiness check of the routers gets 200.
    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            let wait = Duration::from_millis(400);
            let mut stream = TcpStream::connect_timeout(&self.at(READY).into(), wait)?;
            stream.set_read_timeout(Some(wait))?;
            stream.write_all(b"GET /lentilreach/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let mut answer = [0; 16];
            let length = stream.read(&mut answer)?;
            Ok(answer[..length].starts_with(b"HTTP/1.1 200"))
        };
        ask().unwrap_or(false)
    }
}

pub struct World {
    pub record: Record,
    pub store: Arc<Store>,
    pub machines: Vec<Machine>,
    directory: PathBuf,
    network: [u8; 2],
}

impl World {
    /// Creates an empty deployment. `case` is the folder of the case.
    pub fn new(case: &Path) -> Result<Self, String> {
        let file =
            File::create(case.join("record.txt")).map_err(|error| error.to_string())?;
        let record = Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) };
        let pid = std::process::id();
        let directory = std::env::temp_dir().join(format!("review-3-{pid}"));
        std::fs::create_dir_all(&directory).map_err(|error| error.to_string())?;
        let network = [10 + (pid % 200) as u8, (pid / 200 % 250) as u8];
        Ok(Self { record, store: Store::new(), machines: Vec::new(), directory, network })
    }

    /// An address of this run.
    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], last)
    }

    /// Adds a machine. `service` is empty for a `front` machine.
    pub fn add(
        &mut self,
        name: &str,
        zone: &str,
        service: &str,
    ) -> Result<usize, String> {
        let index = self.machines.len();
        let ip = self.ip(index as u8 + 1);
        let store = SocketAddrV4::new(self.ip(index as u8 + 101), STORE);
        let listening = self.store.listen(name, store.into());
        listening.map_err(|error| format!("address of the store: {error}"))?;
        let template = if service.is_empty() { "balancer" } else { "agent" };
        let template = std::fs::read_to_string(format!("deploy/{template}.jsonc"));
        let mut text = template.map_err(|error| format!("template: {error}"))?;
        let values = [
            ("node", name.to_owned()),
            ("zone", zone.to_owned()),
            ("ip", ip.to_string()),
            ("internalPorts.0", INTERNAL.to_string()),
            ("listen.datagramAddr", format!("{ip}:{DATAGRAM}")),
            ("listen.outbound", format!("{ip}:{OUTBOUND}")),
            ("listen.control", format!("{ip}:{CONTROL}")),
            ("listen.ready", format!("{ip}:{READY}")),
            ("platform.address", store.to_string()),
            ("app", format!("{ip}:{APP}")),
            (
                "limits.memoryMb",
                if service.is_empty() { "260" } else { "128" }.to_owned(),
            ),
            ("heartbeatMs", HEARTBEAT.as_millis().to_string()),
            ("bounds.flowMaxS", "60".to_owned()),
            ("bounds.graceS", "6".to_owned()),
            ("bounds.coldOverage", "1.5".to_owned()),
            ("bounds.coldSlack", "5".to_owned()),
        ];
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), &value);
        }
        let settings = self.directory.join(format!("{name}.json"));
        std::fs::write(&settings, text).map_err(|error| error.to_string())?;
        let log = self.directory.join(format!("{name}.log"));
        self.machines.push(Machine {
            name: name.to_owned(),
            zone: zone.to_owned(),
            ip,
            is_front: service.is_empty(),
            service: service.to_owned(),
            settings,
            log,
            child: None,
        });
        Ok(index)
    }

    /// Starts the process of a machine.
    pub fn start(&mut self, index: usize) -> Result<(), String> {
        let machine = &mut self.machines[index];
        let program = if machine.is_front { "balancer" } else { "agent" };
        let log = File::options().create(true).append(true).open(&machine.log);
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new(format!("target/release/lentilreach-{program}"));
        command.arg("--settings").arg(&machine.settings);
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        // SAFETY: prctl is a plain system call. The process ends if this one does in any way.
        unsafe {
            command.pre_exec(|| {
                let _ = prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            })
        };
        let child =
            command.spawn().map_err(|error| format!("lentilreach-{program}: {error}"))?;
        self.record.line(&format!("{}: process started", machine.name));
        machine.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&mut self, index: usize, signal: &str) {
        let machine = &mut self.machines[index];
        let Some(child) = &mut machine.child else { return };
        self.record.line(&format!("{}: {signal}", machine.name));
        let _ = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(child.id().to_string())
            .status();
        if signal == "KILL" {
            let _ = child.wait();
        }
    }

    /// Names of machines whose process has ended by itself.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for machine in &mut self.machines {
            if let Some(child) = &mut machine.child
                && let Ok(Some(_)) = child.try_wait()
            {
                ended.push(machine.name.clone());
            }
        }
        ended
    }

    /// Waits until the processes of all machines are ready.
    pub fn wait_until_ready(&mut self, limit: Duration) -> Result<(), String> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if self.machines.iter().all(Machine::is_ready) {
                self.record.line("all machines are ready");
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(format!(
            "some machine isn't ready after {limit:?}; ended: {:?}",
            self.ended()
        ))
    }

    /// Lines of the processes' own logs that contain a word, for the record.
    pub fn quote_logs(&self, words: &[&str], limit: usize) {
        for machine in &self.machines {
            let Ok(text) = std::fs::read_to_string(&machine.log) else { continue };
            let is_wanted = |line: &&str| words.iter().any(|word| line.contains(word));
            for line in text.lines().filter(is_wanted).take(limit) {
                self.record.line(&format!("log of {}: {line}", machine.name));
            }
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(child) = &mut machine.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A route of a configuration: address and services with weights.
pub struct Route {
    pub name: String,
    pub address: SocketAddrV4,
    pub service: String,
}

/// A configuration in full, with the fields of the sheets.
pub fn config(
    version: u64,
    routes: &[Route],
    services: &[&str],
    timeout_ms: u64,
) -> String {
    config_with(version, routes, services, timeout_ms, 2_000)
}

/// The same, with a maximum number of flows of each target.
pub fn config_with(
    version: u64,
    routes: &[Route],
    services: &[&str],
    timeout_ms: u64,
    max_flows: u32,
) -> String {
    let routes: Vec<_> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"name\":\"{}\",\"host\":\"{}\",\"prefix\":\"/{}/\",\"routeType\":\"non_idempotent\",\"timeoutMs\":{timeout_ms},\"aimMs\":250,\"priority\":1,\"service\":\"{}\",\"maxAttempts\":2}}",
                route.name,
                route.address.ip(),
                route.address.port(),
                route.service
            )
        })
        .collect();
    let services: Vec<_> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":{max_flows},\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":2.0,\"coldPerS\":0.0}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}
