//! A target: ends flows, runs requests, reports its status, answers its health check.

use std::collections::{HashMap, VecDeque};
use std::io::BufReader;
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::packet::{ACK, BOUNCED, FIN, Packet, RST, SYN};
use crate::record::{self, Flow, What};

/// Time within which a status report must be answered.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
pub struct Settings {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Address of the target; packets over UDP, health checks over TCP.
    pub app: SocketAddrV4,
    /// Where the target sends its packets.
    pub outbound: SocketAddrV4,
    /// Where it sends its status reports.
    pub control: SocketAddrV4,
    pub heartbeat: Duration,
    pub slots: usize,
    pub work: Duration,
    pub cold: Duration,
    /// Factor of the work of a cold target.
    pub cold_factor: f64,
}

/// A running target. Dropping it ends it as a crash does.
pub struct Target {
    settings: Settings,
    is_ended: Arc<AtomicBool>,
    is_draining: Arc<AtomicBool>,
    reports: Arc<AtomicU32>,
    threads: Vec<JoinHandle<()>>,
}

impl Target {
    pub fn start(settings: Settings) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(settings.app)?;
        socket.set_read_timeout(Some(Duration::from_millis(1)))?;
        let listener = TcpListener::bind(settings.app)?;
        listener.set_nonblocking(true)?;
        let is_ended = Arc::new(AtomicBool::new(false));
        let is_draining = Arc::new(AtomicBool::new(false));
        let reports = Arc::new(AtomicU32::new(0));
        let born = Instant::now();
        let service = settings.service.clone();
        record::add(What::Target {
            target: settings.id.clone(),
            service,
            change: "started",
        });
        let mut threads = Vec::new();
        let (own, ended, drains) =
            (settings.clone(), is_ended.clone(), is_draining.clone());
        threads.push(thread::spawn(move || {
            let mut app = App::new(own, born, drains);
            while !ended.load(SeqCst) {
                app.step(&socket);
            }
        }));
        let ended = is_ended.clone();
        threads.push(thread::spawn(move || {
            while !ended.load(SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => answer_health(stream),
                    Err(_) => thread::sleep(Duration::from_millis(5)),
                }
            }
        }));
        let (own, ended, drains) =
            (settings.clone(), is_ended.clone(), is_draining.clone());
        let counted = reports.clone();
        threads
            .push(thread::spawn(move || report(&own, born, &ended, &drains, &counted)));
        Ok(Self { settings, is_ended, is_draining, reports, threads })
    }

    /// Number of reports that were acknowledged.
    pub fn reports(&self) -> u32 {
        self.reports.load(SeqCst)
    }

    /// Lets the next report say that the target is draining.
    pub fn drain(&self) {
        self.is_draining.store(true, SeqCst);
    }

    /// Says that the target leaves, and ends it.
    pub fn leave(mut self) -> Settings {
        let path = format!("/lentilreach/targets/{}", self.settings.id);
        let outcome = connect(&self.settings)
            .and_then(|mut stream| http::call(&mut stream, "DELETE", &path, ""));
        record::note(format!("{} says that it leaves: {outcome:?}", self.settings.id));
        self.end("left");
        self.settings.clone()
    }

    /// Ends the target at once and without a word; its sockets are closed on return.
    pub fn crash(mut self) -> Settings {
        self.end("crashed");
        self.settings.clone()
    }

    fn end(&mut self, change: &'static str) {
        self.is_ended.store(true, SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        let (target, service) = (self.settings.id.clone(), self.settings.service.clone());
        record::add(What::Target { target, service, change });
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        if !self.is_ended.load(SeqCst) {
            self.end("ended");
        }
    }
}

fn answer_health(stream: TcpStream) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
    let mut stream = BufReader::new(stream);
    if let Ok(Some(_)) = http::read_request(&mut stream) {
        let _ = http::respond(&mut stream, 200, "{}");
    }
}

/// Reports the status at each interval, the first time at once.
fn report(
    settings: &Settings,
    born: Instant,
    is_ended: &AtomicBool,
    is_draining: &AtomicBool,
    reports: &AtomicU32,
) {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let born_ms = (unix - born.elapsed()).as_millis();
    let mut connection: Option<BufReader<TcpStream>> = None;
    let mut due = Instant::now();
    let mut sequence = 0;
    let mut was_draining = false;
    while !is_ended.load(SeqCst) {
        let drains = is_draining.load(SeqCst);
        if Instant::now() < due && drains == was_draining {
            thread::sleep(Duration::from_millis(2));
            continue;
        }
        was_draining = drains;
        due = Instant::now() + settings.heartbeat;
        sequence += 1;
        let state = if drains { "draining" } else { "ready" };
        let cold_ms =
            settings.cold.saturating_sub(born.elapsed()).as_micros().div_ceil(1_000);
        let Settings { id, service, app, zone, slots, .. } = settings;
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{app}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":{cold_ms},\"seq\":{sequence},\"born\":{born_ms}}}"
        );
        let outcome = send_report(settings, &mut connection, &body);
        match outcome {
            Ok(status) if (200..300).contains(&status) => {
                reports.fetch_add(1, SeqCst);
                record::note(format!(
                    "{id} report {sequence} ({state}, cold {cold_ms} ms) acknowledged"
                ));
            }
            outcome => {
                connection = None;
                record::note(format!(
                    "{id} report {sequence} not acknowledged: {outcome:?}"
                ));
            }
        }
    }
}

fn send_report(
    settings: &Settings,
    connection: &mut Option<BufReader<TcpStream>>,
    body: &str,
) -> std::io::Result<u16> {
    let target = format!("/lentilreach/targets/{}", settings.id);
    // A connection that was kept may have ended meanwhile.
    if let Some(mut stream) = connection.take()
        && let Ok(status) = http::call(&mut stream, "PUT", &target, body)
    {
        *connection = Some(stream);
        return Ok(status);
    }
    let mut stream = connect(settings)?;
    let status = http::call(&mut stream, "PUT", &target, body)?;
    *connection = Some(stream);
    Ok(status)
}

fn connect(settings: &Settings) -> std::io::Result<BufReader<TcpStream>> {
    let address = SocketAddr::V4(settings.control);
    let stream = TcpStream::connect_timeout(&address, REPORT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(REPORT_TIMEOUT))?;
    Ok(BufReader::new(stream))
}

/// Another writer, whose status reports name no target to use: their service isn't one of the
/// deployment's, and fields are missing.
pub struct OddWriter {
    is_ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl OddWriter {
    const INTERVAL: Duration = Duration::from_millis(500);

    /// Sends reports to the address at which those of a target are received.
    pub fn start(settings: Settings) -> Self {
        let is_ended = Arc::new(AtomicBool::new(false));
        let ended = is_ended.clone();
        let thread = thread::spawn(move || {
            let mut sequence = 0;
            while !ended.load(SeqCst) {
                sequence += 1;
                let body = format!(
                    "{{\"service\":\"unbekannt\",\"slots\":1,\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":{sequence}}}"
                );
                let path = "/lentilreach/targets/i-0dd0dd00";
                let outcome = connect(&settings)
                    .and_then(|mut stream| http::call(&mut stream, "PUT", path, &body));
                record::note(format!("report {sequence} of another writer: {outcome:?}"));
                thread::sleep(Self::INTERVAL);
            }
        });
        Self { is_ended, thread: Some(thread) }
    }
}

impl Drop for OddWriter {
    fn drop(&mut self) {
        self.is_ended.store(true, SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A flow at the target.
struct Held {
    is_open: bool,
    first: u32,
    next_from_client: u32,
    next_to_client: u32,
    acknowledged: u32,
    /// The answer, its next retransmission and the number of those before.
    unacknowledged: Option<(Packet, Instant, u32)>,
}

struct App {
    settings: Settings,
    born: Instant,
    is_draining: Arc<AtomicBool>,
    flows: HashMap<Flow, Held>,
    ended: HashMap<Flow, Instant>,
    waiting: VecDeque<(Flow, String)>,
    running: Vec<(Instant, Flow, String)>,
    random: u32,
}

impl App {
    fn new(settings: Settings, born: Instant, is_draining: Arc<AtomicBool>) -> Self {
        let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            settings,
            born,
            is_draining,
            flows: HashMap::new(),
            ended: HashMap::new(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            random: seed.subsec_nanos() | 1,
        }
    }

    fn step(&mut self, socket: &UdpSocket) {
        let mut buffer = [0; 2_048];
        if let Ok((length, _)) = socket.recv_from(&mut buffer)
            && let Some(packet) = Packet::decode(&buffer[..length])
        {
            if packet.is_genuine {
                self.handle(socket, packet);
            } else {
                record::note(format!(
                    "{}: a packet that no client wrote so",
                    self.settings.id
                ));
            }
        }
        self.work(socket);
        self.retransmit(socket);
    }

    fn send(&self, socket: &UdpSocket, packet: &Packet) {
        let _ = socket.send_to(&packet.encode(), self.settings.outbound);
    }

    fn handle(&mut self, socket: &UdpSocket, packet: Packet) {
        let key: Flow = (packet.from, packet.to);
        if packet.has(SYN) {
            if packet.has(ACK) {
                record::note(format!("{}: a forged SYN+ACK", self.settings.id));
                return;
            }
            self.ended.remove(&key);
            if !self.flows.contains_key(&key) {
                self.random ^= self.random << 13;
                self.random ^= self.random >> 17;
                self.random ^= self.random << 5;
                let first = self.random;
                let held = Held {
                    is_open: false,
                    first,
                    next_from_client: packet.seq.wrapping_add(1),
                    next_to_client: first.wrapping_add(1),
                    acknowledged: first.wrapping_add(1),
                    unacknowledged: None,
                };
                self.flows.insert(key, held);
                let target = self.settings.id.clone();
                record::add(What::TookOpening { flow: key, copy: packet.ack, target });
            }
            let first = self.flows[&key].first;
            let answer = Packet::new(
                packet.to,
                packet.from,
                SYN | ACK,
                first,
                packet.seq.wrapping_add(1),
            );
            return self.send(socket, &answer);
        }
        let Some(held) = self.flows.get_mut(&key) else {
            if packet.has(RST) {
                return;
            }
            if self.ended.contains_key(&key) {
                let flags = if packet.data.is_empty() { ACK } else { RST };
                if packet.has(FIN) || !packet.data.is_empty() {
                    let answer = Packet::new(
                        packet.to,
                        packet.from,
                        flags,
                        packet.ack,
                        packet.seq.wrapping_add(1),
                    );
                    self.send(socket, &answer);
                }
                return;
            }
            let mut returned = packet;
            returned.flags |= BOUNCED;
            return self.send(socket, &returned);
        };
        if packet.has(RST) {
            self.flows.remove(&key);
            return;
        }
        if !held.is_open {
            if packet.ack != held.first.wrapping_add(1) {
                let mut returned = packet;
                returned.flags |= BOUNCED;
                return self.send(socket, &returned);
            }
            held.is_open = true;
            record::add(What::Opened { flow: key, target: self.settings.id.clone() });
        }
        if packet.ack.wrapping_sub(held.acknowledged) < 1 << 20 {
            held.acknowledged = packet.ack;
            if held.acknowledged == held.next_to_client {
                held.unacknowledged = None;
            }
        }
        if !packet.data.is_empty() {
            let is_next = packet.seq == held.next_from_client;
            if is_next {
                held.next_from_client = packet.seq.wrapping_add(packet.data.len() as u32);
            }
            let answer = Packet::new(
                packet.to,
                packet.from,
                ACK,
                held.next_to_client,
                held.next_from_client,
            );
            self.send(socket, &answer);
            if is_next {
                let text = String::from_utf8_lossy(&packet.data);
                let id = text.lines().find_map(|line| line.strip_prefix("Attempt-Id: "));
                self.waiting.push_back((key, id.unwrap_or("none").to_owned()));
            }
        }
        if packet.has(FIN) {
            let Some(held) = self.flows.remove(&key) else { return };
            let answer = Packet::new(
                packet.to,
                packet.from,
                ACK | FIN,
                held.next_to_client,
                packet.seq.wrapping_add(1),
            );
            self.send(socket, &answer);
            self.ended.insert(key, Instant::now());
        }
    }

    fn work(&mut self, socket: &UdpSocket) {
        let now = Instant::now();
        while self.running.len() < self.settings.slots
            && let Some((flow, id)) = self.waiting.pop_front()
        {
            let (target, service) =
                (self.settings.id.clone(), self.settings.service.clone());
            record::add(What::Ran { flow, id: id.clone(), target, service });
            let is_cold = self.born.elapsed() < self.settings.cold;
            let factor = if is_cold { self.settings.cold_factor } else { 1.0 };
            self.running.push((now + self.settings.work.mul_f64(factor), flow, id));
        }
        let (done, running) =
            self.running.drain(..).partition::<Vec<_>, _>(|(end, ..)| *end <= now);
        self.running = running;
        for (_, flow, id) in done {
            let Some(held) = self.flows.get_mut(&flow) else { continue };
            let body =
                format!("{id} by {} of {}", self.settings.id, self.settings.service);
            let close =
                if self.is_draining.load(SeqCst) { "Connection: close\r\n" } else { "" };
            let text = format!(
                "HTTP/1.1 200 OK\r\nTarget-Seal: {id}\r\nTarget-Id: {}\r\n{close}Content-Length: {}\r\n\r\n{body}",
                self.settings.id,
                body.len()
            );
            let mut answer = Packet::new(
                flow.1,
                flow.0,
                ACK,
                held.next_to_client,
                held.next_from_client,
            );
            answer.data = text.into_bytes();
            held.next_to_client =
                held.next_to_client.wrapping_add(answer.data.len() as u32);
            let again = now + Duration::from_millis(200);
            held.unacknowledged = Some((answer.clone(), again, 0));
            self.send(socket, &answer);
        }
    }

    fn retransmit(&mut self, socket: &UdpSocket) {
        let now = Instant::now();
        let mut due = Vec::new();
        for held in self.flows.values_mut() {
            let Some((packet, at, times)) = &mut held.unacknowledged else { continue };
            if *at > now {
                continue;
            }
            due.push(packet.clone());
            *times += 1;
            *at = now + Duration::from_millis((200 << (*times).min(3)).min(1_600));
            if *times >= 8 {
                held.unacknowledged = None;
            }
        }
        for packet in due {
            self.send(socket, &packet);
        }
        self.ended.retain(|_, at| at.elapsed() < Duration::from_secs(10));
    }
}
