//! Cost of a decision on a job by the number of waiting ones, and of the choice of an agent by
//! the number of agents.

use std::borrow::Cow;
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};

use criterion::{BenchmarkId, Criterion};
use lentilreach::process::clock::Millis;
use lentilreach_steer::connection::flow;
use lentilreach_steer::process::roster::Roster;
use lentilreach_steer::process::schedule::admission::{Admission, Capacity};
use lentilreach_steer::process::schedule::queue::{Job, Kind};
use lentilreach_steer::request::message::{BackendStatus, Heartbeat, Load, Stage};
use lentilreach_steer::request::placement::{Request, choose_agent};
use lentilreach_steer::version::history::History;
use lentilreach_steer::version::routing::{Route, Routing, Service, Share};

/// The current time.
const NOW: Millis = Millis(100_000);

/// The service.
const SERVICE: &str = "calendar";

/// Number of requests that a backend server runs concurrently.
const SLOTS: u32 = 3;

/// The address that callers use.
fn service_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

/// A flow with a number.
fn flow(number: u32) -> flow::Key {
    let caller = Ipv4Addr::from(0x6440_0000 | (number & 0xffff));
    let port = (number >> 16) as u16;
    flow::Key { caller: SocketAddrV4::new(caller, port), service: service_address() }
}

/// A request of one of two priorities that was sent in the last 100 ms.
fn job(number: u32) -> Job {
    let sent_at = Millis(NOW.0 - u64::from(number.wrapping_mul(7_919) % 100));
    Job {
        flow: flow(number),
        kind: Kind::Request,
        priority: 1 + (number % 2) as u8,
        sent_at,
        due_at: sent_at.after(300),
        give_up_at: sent_at.after(1_500),
    }
}

/// Waiting jobs.
fn admission(jobs: u32) -> Admission<u32> {
    let mut admission = Admission::default();
    for number in 0..jobs {
        admission.insert(NOW, job(number), number);
    }
    admission
}

/// A roster of agents in four failure domains that state their load.
fn roster(agents: u32) -> Roster {
    let mut roster = Roster::new();
    for number in 0..agents {
        let domain = ["a", "b", "c", "d"][number as usize % 4];
        let heartbeat = Heartbeat {
            incarnation: 1,
            sequence: 1,
            domain: Cow::Borrowed(domain),
            revision: 1.into(),
            wants_reply: false,
            is_agent: true,
            backend_status: Some(BackendStatus {
                service: Cow::Borrowed(SERVICE),
                stage: Stage::Ready,
                open: 10,
                busy: 1,
                slots: SLOTS,
                lifetime_ms: 100,
                is_failing: false,
                balancers: 4,
            }),
            sync_status: None,
            load: Some(Load {
                given: 15,
                waiting: Vec::new(),
                slots: SLOTS,
                request: 400 + number % 100,
                routes: Vec::new(),
                floor: None,
                is_conditional: false,
            }),
        };
        let address = SocketAddrV4::new(Ipv4Addr::from(0x0a01_0000 | number), 7_700);
        roster.record_heartbeat(NOW, address, &heartbeat).expect("the first heartbeat");
    }
    roster.tick(NOW);
    roster
}

/// A routing with one address.
fn routing() -> Routing {
    Routing {
        revision: 1.into(),
        version: 1,
        routes: vec![Route {
            address: service_address(),
            split: vec![Share { service: SERVICE.into(), weight: 1 }],
            objective_ms: 300,
            deadline_ms: Some(1_500),
            priority: 1,
        }],
        services: vec![Service {
            name: SERVICE.into(),
            connections: 2_000,
            cold_per_s: 0.0,
            cold_ms: 2_000,
        }],
        domains_out: Vec::new(),
        idle_ms: 15_000,
        history: History::default(),
    }
}

/// Decides on a job, lets it wait, and gives the next one to the backend server.
fn decide(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decide");
    for jobs in [10, 100, 1_000] {
        let mut admission = admission(jobs);
        let mut number = jobs;
        let (full, free) = (SLOTS + 1, 0);
        let capacity = |in_flight| Capacity { slots: SLOTS, in_flight };
        group.bench_function(BenchmarkId::from_parameter(jobs), |bencher| {
            bencher.iter(|| {
                number = number.wrapping_add(1);
                let job = job(number);
                black_box(admission.decide(NOW, &job, capacity(full), false));
                admission.insert(NOW, job, number);
                black_box(admission.next(NOW, capacity(free), None))
            });
        });
        assert_eq!(admission.queue().len(), jobs as usize);
    }
    group.finish();
}

/// Selects an agent.
fn choose(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose");
    let routing = routing();
    for agents in [50, 500, 4_000] {
        let roster = roster(agents);
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(agents), |bencher| {
            bencher.iter(|| {
                number = (number + 1) % 1_000_000;
                let flow = flow(number);
                let request = Request { flow: &flow, service: SERVICE, domain: "a" };
                black_box(choose_agent(NOW, &routing, &roster, request, &[]))
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    decide(&mut criterion);
    choose(&mut criterion);
    criterion.final_summary();
}
