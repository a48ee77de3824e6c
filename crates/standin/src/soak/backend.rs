//! A backend server: accepts flows, runs requests once, and reports to its agent.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use async_io::Timer;
use lentilreach::process::clock::wall_ms;
use lentilreach::process::link::{Link, MAX_DATAGRAM_LEN, Udp};
use lentilreach::process::pool::Pool;
use lentilreach_platform_standin::packet::{self, ACK, Format, Packet, RST, SYN};
use lentilreach_platform_standin::report::{self, Report};
use lentilreach_steer::connection::flow;
use lentilreach_steer::request::segment::{Format as _, Segment};
use parking_lot::Mutex;
use smol::Task;

use super::layout::{self, Layout};
use super::record::{Fact, Lifetime, Record};
use super::{http, payload};

/// Interval between reports, in milliseconds.
pub const REPORT_MS: u64 = 800;

/// Interval at which a report is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Number of requests that run concurrently, as reported. So few that requests have to wait
/// for each other.
const SLOTS: u32 = 1;

/// Shortest and longest time that a request takes, in milliseconds.
const WORK_MS: (u64, u64) = (5, 40);

/// Lifetimes are numbered from here on over the whole process, which may run several soaks.
static NEXT_LIFETIME: AtomicU32 = AtomicU32::new(1);

/// A running backend server. Dropping it ends its tasks; see [`Self::end`].
#[derive(Debug)]
pub struct Server {
    /// Its lifetime.
    pub lifetime: Lifetime,
    /// State shared with its tasks.
    shared: Arc<Shared>,
    /// Its tasks.
    _tasks: Vec<Task<()>>,
    /// Lets its agent see by a connection that a process runs at the address.
    _listener: TcpListener,
}

/// State shared by the tasks of a backend server.
#[derive(Debug)]
struct Shared {
    /// Its number.
    number: u8,
    /// Its lifetime.
    lifetime: Lifetime,
    /// Receives segments and sends them to the agent.
    link: Udp,
    /// Address of its agent for segments.
    agent: SocketAddr,
    /// Address of its agent for reports.
    reports: SocketAddr,
    /// Address at which it receives segments.
    address: SocketAddr,
    /// Flows, sorted by key.
    flows: Mutex<Vec<(flow::Key, Flow)>>,
    /// Whether it is draining.
    is_draining: AtomicBool,
    /// Where it records what it sees.
    record: Record,
    /// Runs requests.
    pool: Pool,
}

/// A flow that a backend server holds.
#[derive(Debug, Clone, Default)]
struct Flow {
    /// The first sequence number that it sent.
    first: u32,
    /// The next sequence number that it sends.
    next: u32,
    /// The sequence number of the caller's next request.
    expected: u32,
    /// The last answer, sent again if its request is repeated.
    answer: Vec<u8>,
}

impl Server {
    /// Starts a backend server.
    ///
    /// # Errors
    /// If its address can't be bound.
    pub fn start(
        pool: &Pool,
        layout: &Layout,
        number: u8,
        record: &Record,
    ) -> std::io::Result<Self> {
        let ip = layout.agent(number);
        let listener = TcpListener::bind(layout::server(ip))?;
        let link = Udp::bind(layout::server(ip))?;
        let lifetime = NEXT_LIFETIME.fetch_add(1, Ordering::Relaxed);
        let shared = Arc::new(Shared {
            number,
            lifetime,
            link,
            agent: layout::backend(ip),
            reports: layout::reports(ip),
            address: layout::server(ip),
            flows: Mutex::default(),
            is_draining: AtomicBool::new(false),
            record: record.clone(),
            pool: pool.clone(),
        });
        let service = layout::service(number);
        record.add(Fact::Started { server: lifetime, number, service });
        let tasks = vec![
            pool.spawn(shared.clone().receive()),
            pool.spawn(shared.clone().report()),
        ];
        Ok(Self { lifetime, shared, _tasks: tasks, _listener: listener })
    }

    /// Announces that it drains: the agent should send no new flows.
    pub fn drain(&self) {
        self.shared.is_draining.store(true, Ordering::Relaxed);
    }

    /// Ends it. All its flows are gone from the moment that is recorded.
    pub fn end(self) {
        self.shared.record.add(Fact::Ended { server: self.lifetime });
    }

    /// Says that it leaves, and ends it.
    pub async fn leave(self) {
        let (reports, path) = (self.shared.reports, report::path(&self.shared.id()));
        self.end();
        // An agent that stands still learns it from the reports that are missing.
        let _ = http::call(reports, "DELETE", &path, "").await;
    }
}

impl Shared {
    /// Its identifier in reports.
    fn id(&self) -> String {
        format!("s{}-{}", self.number, self.lifetime)
    }

    /// Reports until the task is cancelled.
    async fn report(self: Arc<Self>) {
        let mut report = Report {
            id: self.id(),
            service: layout::service(self.number),
            address: self.address,
            domain: layout::domain(self.number).into(),
            slots: SLOTS,
            is_draining: false,
            sequence: 0,
            started_ms: wall_ms(),
        };
        let path = report::path(&report.id);
        let mut was_draining = false;
        let mut due_ms = 0;
        loop {
            report.is_draining = self.is_draining.load(Ordering::Relaxed);
            let is_change = report.is_draining && !was_draining;
            if !is_change && self.record.now_ms() < due_ms {
                Timer::after(RETRY_INTERVAL / 4).await;
                continue;
            }
            report.sequence += 1;
            let done = http::call(self.reports, "PUT", &path, &report.body()).await;
            if !done.unwrap_or(false) {
                Timer::after(RETRY_INTERVAL).await;
                continue;
            }
            if is_change {
                was_draining = true;
                self.record.add(Fact::Draining { server: self.lifetime });
            }
            due_ms = self.record.now_ms() + REPORT_MS;
        }
    }

    /// Receives segments until the task is cancelled.
    async fn receive(self: Arc<Self>) {
        let mut buffer = [0; MAX_DATAGRAM_LEN];
        loop {
            // An error only tells that the agent wasn't there.
            let Ok((length, _)) = self.link.receive(&mut buffer).await else { continue };
            let bytes = &buffer[..length];
            if let Ok(segment) = Format.read(bytes) {
                self.handle(&segment, bytes);
            }
        }
    }

    /// Handles a segment.
    fn handle(self: &Arc<Self>, segment: &Segment, bytes: &[u8]) {
        let (server, flow) = (self.lifetime, segment.flow_from_caller());
        let mut flows = self.flows.lock();
        let found = flows.binary_search_by(|(key, _)| key.cmp(&flow));
        if segment.is_opening() {
            let index = found.unwrap_or_else(|index| {
                self.record.add(Fact::Accepted { server, flow });
                let first = fastrand::u32(..);
                self.record.register(flow, first, server);
                let (next, expected) = (first.wrapping_add(1), segment.sequence + 1);
                flows.insert(
                    index,
                    (flow, Flow { first, next, expected, ..Flow::default() }),
                );
                index
            });
            return self.send(&flow, SYN | ACK, flows[index].1.first, segment);
        }
        self.record.add(Fact::Delivered { server, flow });
        let Ok(index) = found else {
            return self.send_bytes(&packet::returned(bytes));
        };
        let state = &mut flows[index].1;
        if segment.flags.reset || segment.flags.close {
            flows.remove(index);
            return;
        }
        let sent = state.next.wrapping_sub(state.first);
        let acknowledged = segment.acknowledged.wrapping_sub(state.first);
        if acknowledged == 0 || acknowledged > sent {
            // The caller has opened this flow at another backend server.
            flows.remove(index);
            self.record.add(Fact::ServerReset { server, flow });
            return self.send(&flow, RST, segment.acknowledged, segment);
        }
        if segment.length == 0 {
            return;
        }
        if segment.sequence == state.expected {
            state.expected = segment.sequence.wrapping_add(u32::from(segment.length));
            state.answer.clear();
            let task = self.clone().run(*segment, packet::data(bytes).to_vec());
            self.pool.spawn(task).detach();
        } else if !state.answer.is_empty() {
            self.send_bytes(&state.answer);
        }
    }

    /// Runs a request and answers it.
    async fn run(self: Arc<Self>, segment: Segment, data: Vec<u8>) {
        let (server, flow) = (self.lifetime, segment.flow_from_caller());
        let Some(request) = payload::request(&data) else { return };
        self.record.add(Fact::Ran { server, flow, request });
        Timer::after(Duration::from_millis(fastrand::u64(WORK_MS.0..=WORK_MS.1))).await;
        if !self.record.is_living(server) {
            return;
        }
        let mut flows = self.flows.lock();
        let Ok(index) = flows.binary_search_by(|(key, _)| key.cmp(&flow)) else { return };
        let state = &mut flows[index].1;
        state.answer = self.packet(&flow, ACK, state.next, &segment, &data).bytes();
        state.next = state.next.wrapping_add(data.len() as u32);
        self.send_bytes(&state.answer);
    }

    /// Sends a packet without data to a caller, by way of the agent.
    fn send(&self, flow: &flow::Key, flags: u8, sequence: u32, to: &Segment) {
        self.send_bytes(&self.packet(flow, flags, sequence, to, &[]).bytes());
    }

    /// A packet that answers a segment.
    fn packet<'a>(
        &self,
        flow: &flow::Key,
        flags: u8,
        sequence: u32,
        to: &Segment,
        data: &'a [u8],
    ) -> Packet<'a> {
        let length = u32::from(to.length).max(u32::from(to.flags.open));
        Packet {
            source: flow.service,
            destination: flow.caller,
            flags,
            sequence,
            acknowledged: to.sequence.wrapping_add(length),
            data,
        }
    }

    /// Sends a datagram to the agent. It is lost if the agent isn't there.
    fn send_bytes(&self, bytes: &[u8]) {
        let _ = self.link.send(self.agent, bytes);
    }
}
