//! The cases, each with the check of its rule.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::thread;
use std::time::{Duration, SystemTime};

use crate::client::{Client, Plan};
use crate::packet::{Event, Flow, Record};
use crate::target::{Target, put};
use crate::{Deployment, give_up, store, wait_until};

/// Service for the first route.
const FIRST: &str = "abo-kalender";
/// Service for the second route.
const SECOND: &str = "beleg-dienst";

/// Plays a case. Returns its record, and how the rule was broken.
pub fn play(case: &str, with_trouble: bool) -> (String, Option<String>) {
    match case {
        "moved-route" => moved_route(with_trouble),
        "odd-report" => odd_report(with_trouble),
        "cold-target" => cold_target(with_trouble),
        "long-flow" => long_flow(with_trouble),
        "late-report" => late_report(with_trouble),
        "unrecorded" => unrecorded(with_trouble),
        _ => give_up("no such case"),
    }
}

/// Ends a case: stops everything and returns the record.
fn end(mut deployment: Deployment, clients: Vec<Client>, targets: Vec<Target>) -> Record {
    deployment.check_running();
    for client in clients {
        client.stop();
    }
    let record = deployment.record.clone();
    deployment.end();
    for target in targets {
        target.crash(&record);
    }
    record
}

/// A flow with a number of requests.
fn plan(
    deployment: &Deployment,
    route: u8,
    at_ms: u64,
    requests: u32,
    pause_ms: u64,
) -> Plan {
    Plan {
        at: Duration::from_millis(at_ms),
        route: deployment.route(route),
        requests,
        pause: Duration::from_millis(pause_ms),
        size: 1_000,
        budget: Duration::from_secs(5),
    }
}

/// A route is moved to another service; flows stay where they are. Then all processes of the
/// system are killed and start again. Clients go on with their flows after a pause.
fn moved_route(with_trouble: bool) -> (String, Option<String>) {
    let mut d = Deployment::new(2, 4);
    d.configure(7, &[FIRST, SECOND], 0.0);
    let targets: Vec<Target> =
        [("side-3", FIRST), ("side-4", FIRST), ("side-5", SECOND), ("side-6", SECOND)]
            .iter()
            .map(|(machine, service)| {
                Target::start(
                    d.setup(machine, &format!("i-{machine}"), service),
                    &d.record,
                )
            })
            .collect();
    d.start();
    d.wait_until_ready();
    let plans = (0..8).map(|index| plan(&d, 1, index * 50, 2, 11_000)).collect();
    let client =
        Client::start(d.ip(9, 1), d.ports.datagram, d.balancers(), plans, &d.record);
    let start = d.record.now();
    wait_until(&d.record, start + 1.5);
    d.configure(9, &[SECOND, SECOND, FIRST], 0.0);
    wait_until(&d.record, start + 4.5);
    if with_trouble {
        for machine in &mut d.machines {
            machine.kill();
        }
        d.record.note("all processes of the system are killed");
        thread::sleep(Duration::from_millis(500));
        d.start();
    }
    wait_until(&d.record, start + 17.0);
    let record = end(d, vec![client], targets);
    let broken = misled(&record.events());
    (record.text(), broken)
}

/// FLOW (b): for 2 s, three or more packets of an open flow reached other targets and none
/// its own.
fn misled(events: &[(f64, Event)]) -> Option<String> {
    let mut own: HashMap<Flow, Vec<f64>> = HashMap::new();
    let mut others: HashMap<Flow, Vec<f64>> = HashMap::new();
    let mut taken: HashMap<Flow, String> = HashMap::new();
    for (at, event) in events {
        match event {
            Event::Took { flow, target, .. } => {
                taken.insert(*flow, target.clone());
            }
            Event::Got { flow, .. } => own.entry(*flow).or_default().push(*at),
            Event::Bounced { flow, target, .. } if taken.get(flow) != Some(target) => {
                others.entry(*flow).or_default().push(*at);
            }
            _ => {}
        }
    }
    let mut count = 0;
    let mut first = None;
    for (flow, times) in &others {
        let reached = own.get(flow).cloned().unwrap_or_default();
        let span = times.iter().find(|from| {
            let within = |at: &&f64| **at >= **from && **at <= **from + 2.0;
            let is_quiet = !reached.iter().any(|at| within(&at));
            is_quiet && times.iter().filter(within).count() >= 3
        });
        if let Some(from) = span {
            count += 1;
            first.get_or_insert((*from, *flow));
        }
    }
    first.map(|(at, flow)| {
        format!(
            "FLOW: packets of {count} open flows reached other targets for 2 s, and none their own; one is {} to {}, from {at:.3} s on",
            flow.client, flow.route
        )
    })
}

/// ROUTE: requests that were run by a service to which no configuration allows them to go:
/// when, by which target and service, and which.
fn foreign_runs(
    events: &[(f64, Event)],
    allowed: &[(SocketAddrV4, &str)],
) -> Vec<(f64, String, String, String)> {
    let foreign = events.iter().filter_map(|(at, event)| match event {
        Event::Runs { flow, target, service, request } => {
            let is_allowed =
                allowed.iter().any(|(r, s)| *r == flow.route && s == service);
            (!is_allowed).then(|| (*at, target.clone(), service.clone(), request.clone()))
        }
        _ => None,
    });
    foreign.collect()
}

/// A status report of another writer reaches an agent: its `address` is missing.
fn odd_report(with_trouble: bool) -> (String, Option<String>) {
    let mut d = Deployment::new(1, 3);
    d.configure(7, &[FIRST, SECOND], 0.0);
    let targets: Vec<Target> = [("side-2", FIRST), ("side-3", FIRST), ("side-4", SECOND)]
        .iter()
        .map(|(machine, service)| {
            Target::start(d.setup(machine, &format!("i-{machine}"), service), &d.record)
        })
        .collect();
    d.start();
    d.wait_until_ready();
    let mut plans: Vec<Plan> = (0..20).map(|i| plan(&d, 1, i * 25, 20, 400)).collect();
    plans.extend((0..400).map(|i| plan(&d, 2, i * 20, 1, 0)));
    let client =
        Client::start(d.ip(9, 1), d.ports.datagram, d.balancers(), plans, &d.record);
    let start = d.record.now();
    wait_until(&d.record, start + 3.0);
    if with_trouble {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
        let born = since.as_millis();
        let body = format!(
            r#"{{"service":"{SECOND}","zone":"raum-nord","version":"v1","slots":5,"state":"ready","coldRemainingMs":0,"seq":1,"born":{born}}}"#
        );
        let control = d.setup("side-2", "", FIRST).control;
        let status = put(control, "i-other", &body);
        d.record.note(format!(
            "another writer's status report to side-2: {body}: {status:?}"
        ));
    }
    wait_until(&d.record, start + 9.0);
    let allowed = [(d.route(1), FIRST), (d.route(2), SECOND)];
    let record = end(d, vec![client], targets);
    let events = record.events();
    let foreign = foreign_runs(&events, &allowed);
    let resets = events
        .iter()
        .filter(|(_, event)| matches!(event, Event::Reset { open: true, own: true, .. }))
        .count();
    let broken = foreign.first().map(|(at, target, service, request)| {
        format!(
            "ROUTE: {} requests were run by a service to which no configuration allows them to go; the first: {request} by {target} of {service} at {at:.3} s. Besides, {resets} open flows were reset by the system",
            foreign.len()
        )
    });
    (record.text(), broken)
}

/// Requests per second that a cold target bears.
const COLD_PER_S: f64 = 10.0;

/// The store is down for 4.5 s. Meanwhile a machine loses power: its target and its agent
/// start again, and the target is cold.
fn cold_target(with_trouble: bool) -> (String, Option<String>) {
    let mut d = Deployment::new(1, 2);
    d.configure(7, &[FIRST], COLD_PER_S);
    let mut first = Target::start(d.setup("side-2", "i-2", FIRST), &d.record);
    let second = Target::start(d.setup("side-3", "i-3", FIRST), &d.record);
    d.start();
    d.wait_until_ready();
    let plans = (0..1_500).map(|index| plan(&d, 1, index * 8, 1, 0)).collect();
    let client =
        Client::start(d.ip(9, 1), d.ports.datagram, d.balancers(), plans, &d.record);
    let start = d.record.now();
    wait_until(&d.record, start + 2.0);
    if with_trouble {
        d.record.note("the store answers every call with 503");
        d.machines.iter().for_each(|machine| machine.store.set(store::BUSY));
    }
    wait_until(&d.record, start + 2.5);
    d.record.note("side-2 loses power");
    d.machine("side-2").kill();
    first.crash(&d.record);
    wait_until(&d.record, start + 3.0);
    d.machine("side-2").start();
    wait_until(&d.record, start + 4.2);
    let mut setup = d.setup("side-2", "i-2b", FIRST);
    setup.cold = Duration::from_secs(2);
    first = Target::start(setup, &d.record);
    wait_until(&d.record, start + 6.5);
    d.machines.iter().for_each(|machine| machine.store.set(store::SERVE));
    d.record.note("the store answers again");
    wait_until(&d.record, start + 9.0);
    let record = end(d, vec![client], vec![first, second]);
    let broken = overloaded(&record.events(), COLD_PER_S * 1.5 + 5.0);
    (record.text(), broken)
}

/// FAILBACK: requests that were sent to a cold target and arrived within one second.
fn overloaded(events: &[(f64, Event)], limit: f64) -> Option<String> {
    let mut sent: HashMap<Flow, f64> = HashMap::new();
    let mut arrivals: HashMap<String, Vec<(f64, f64)>> = HashMap::new();
    for (at, event) in events {
        match event {
            Event::Opens { flow } => {
                sent.insert(*flow, *at);
            }
            Event::Took { flow, target, cold: true, .. } => {
                arrivals.entry(target.clone()).or_default().push((sent[flow], *at));
            }
            _ => {}
        }
    }
    let mut worst = (0, 0.0, String::new());
    for (target, times) in &arrivals {
        for (from, _) in times {
            let count =
                times.iter().filter(|(s, a)| s >= from && *a < from + 1.0).count();
            if count > worst.0 {
                worst = (count, *from, target.clone());
            }
        }
    }
    let (count, from, target) = worst;
    (count as f64 > limit).then(|| {
        format!("FAILBACK: the cold target {target} got {count} requests in one second from {from:.3} s on; the limit is {limit}")
    })
}

/// A client downloads more than 60 MB on one flow, within a minute.
fn long_flow(with_trouble: bool) -> (String, Option<String>) {
    let mut d = Deployment::new(1, 3);
    d.configure(7, &[FIRST, SECOND], 0.0);
    let targets: Vec<Target> = [("side-2", FIRST), ("side-3", FIRST), ("side-4", SECOND)]
        .iter()
        .map(|(machine, service)| {
            Target::start(d.setup(machine, &format!("i-{machine}"), service), &d.record)
        })
        .collect();
    d.start();
    d.wait_until_ready();
    let requests = if with_trouble { 650 } else { 450 };
    let download = |at_ms| Plan { size: 120_000, ..plan(&d, 1, at_ms, requests, 0) };
    let plans = vec![download(0), download(20), download(40), plan(&d, 1, 100, 100, 300)];
    let client =
        Client::start(d.ip(9, 1), d.ports.datagram, d.balancers(), plans, &d.record);
    let start = d.record.now();
    let is_over = |record: &Record| {
        let ends = record.events().into_iter().filter(|(_, event)| match event {
            Event::Answered { request, .. } => request.ends_with(&format!("-{requests}")),
            Event::Reset { .. } | Event::GaveUp { .. } => true,
            _ => false,
        });
        ends.count() >= 3
    };
    while !is_over(&d.record) && d.record.now() < start + 58.0 {
        thread::sleep(Duration::from_millis(200));
    }
    let record = end(d, vec![client], targets);
    let events = record.events();
    let broken = events.iter().find_map(|(at, event)| match event {
        Event::Reset { flow, open: true, own: true } => {
            let age = at - start;
            (age < 60.0).then(|| {
                format!("FLOW: the client of {} got a reset of the system at {at:.3} s, {age:.1} s after it had opened the flow", flow.client)
            })
        }
        _ => None,
    });
    (record.text(), broken)
}

/// A target crashes while its last status report is delayed. Another service gets its address,
/// and registers there. Then the agent is killed and starts again, and the delayed report
/// arrives.
fn late_report(with_trouble: bool) -> (String, Option<String>) {
    let mut d = Deployment::new(1, 3);
    d.configure(7, &[FIRST, SECOND], 0.0);
    let old = Target::start(d.setup("side-2", "i-old", FIRST), &d.record);
    let others =
        [("side-3", FIRST), ("side-4", SECOND)].iter().map(|(machine, service)| {
            Target::start(d.setup(machine, &format!("i-{machine}"), service), &d.record)
        });
    let mut targets: Vec<Target> = others.collect();
    d.start();
    d.wait_until_ready();
    let plans = (0..700).map(|index| plan(&d, 1, index * 15, 1, 0)).collect();
    let client =
        Client::start(d.ip(9, 1), d.ports.datagram, d.balancers(), plans, &d.record);
    let start = d.record.now();
    wait_until(&d.record, start + 1.0);
    let (control, late) = (old.setup.control, old.status(1_000));
    d.record.note("the next status report of i-old is delayed");
    old.crash(&d.record);
    wait_until(&d.record, start + 3.3);
    let new = Target::start(d.setup("side-2", "i-new", SECOND), &d.record);
    wait_until(&d.record, start + 5.0);
    let reported = new.reported.clone();
    let before = *reported.lock().unwrap();
    while *reported.lock().unwrap() == before {
        thread::sleep(Duration::from_millis(1));
    }
    d.machine("side-2").kill();
    d.record.note("the agent of side-2 is killed");
    thread::sleep(Duration::from_millis(200));
    d.machine("side-2").start();
    d.record.note("the agent of side-2 starts again");
    if with_trouble {
        let status = (0..20).find_map(|_| {
            thread::sleep(Duration::from_millis(10));
            put(control, "i-old", &late)
        });
        d.record.note(format!("the delayed report of i-old arrives: {late}: {status:?}"));
    }
    wait_until(&d.record, start + 9.0);
    targets.push(new);
    let allowed = [(d.route(1), FIRST), (d.route(2), SECOND)];
    let record = end(d, vec![client], targets);
    let foreign = foreign_runs(&record.events(), &allowed);
    let broken = foreign.first().map(|(at, target, service, request)| {
        format!(
            "ROUTE: {} requests were run by a service to which no configuration allows them to go; the first: {request} by {target} of {service} at {at:.3} s",
            foreign.len()
        )
    });
    (record.text(), broken)
}

/// The store is down for 4.5 s. Meanwhile a machine loses power, and later all processes of
/// the system are killed. They are back when the store is. A client goes on with a flow that
/// it opened in between.
fn unrecorded(with_trouble: bool) -> (String, Option<String>) {
    let mut d = Deployment::new(2, 4);
    d.configure(7, &[FIRST], 0.0);
    let mut targets = Vec::new();
    for machine in ["side-4", "side-5", "side-6"] {
        targets.push(Target::start(
            d.setup(machine, &format!("i-{machine}"), FIRST),
            &d.record,
        ));
    }
    let first = Target::start(d.setup("side-3", "i-a", FIRST), &d.record);
    d.start();
    d.wait_until_ready();
    let start = d.record.now();
    if with_trouble {
        d.record.note("the store answers every call with 503");
        d.machines.iter().for_each(|machine| machine.store.set(store::BUSY));
    }
    wait_until(&d.record, start + 0.3);
    d.record.note("side-3 loses power");
    d.machine("side-3").kill();
    first.crash(&d.record);
    wait_until(&d.record, start + 0.8);
    d.machine("side-3").start();
    wait_until(&d.record, start + 1.0);
    targets.push(Target::start(d.setup("side-3", "i-b", FIRST), &d.record));
    wait_until(&d.record, start + 2.6);
    let plans = (0..12).map(|index| plan(&d, 1, index * 60, 2, 10_000)).collect();
    let client =
        Client::start(d.ip(9, 1), d.ports.datagram, d.balancers(), plans, &d.record);
    wait_until(&d.record, start + 4.0);
    for machine in &mut d.machines {
        machine.kill();
    }
    d.record.note("all processes of the system are killed");
    wait_until(&d.record, start + 4.5);
    d.machines.iter().for_each(|machine| machine.store.set(store::SERVE));
    d.record.note("the store answers again");
    d.start();
    wait_until(&d.record, start + 17.0);
    let record = end(d, vec![client], targets);
    let resets: Vec<_> = record
        .events()
        .into_iter()
        .filter(|(at, event)| {
            *at > start + 9.0
                && matches!(event, Event::Reset { open: true, own: true, .. })
        })
        .collect();
    let broken = resets.first().map(|(at, event)| {
        let Event::Reset { flow, .. } = event else { unreachable!() };
        format!(
            "FLOW: the clients of {} open flows got a reset of the system while their targets lived; the first: {} to {} at {at:.3} s",
            resets.len(),
            flow.client,
            flow.route
        )
    });
    (record.text(), broken)
}
