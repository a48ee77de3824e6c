//! A route moves from service to service while the configuration is a long one.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use crate::client::{Client, Outcome};
use crate::target::{Run, Target, Work};
use crate::world::{DATAGRAM, Route, World, config};

const ZONE: &str = "nord";
const SERVICES: [&str; 2] = ["kalender", "beleg"];

/// The bound of the sheets, in milliseconds.
const ROLLBACK_SLACK_MS: u64 = 250;

/// Number of routes by which the configuration has grown, as in the site file.
const IDLE_ROUTES: u16 = 350;

/// Number of times that the route is moved, and the time between.
const MOVES: usize = 6;
const PAUSE: Duration = Duration::from_secs(4);

pub fn play(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let mut world = World::new(folder)?;
    let record = world.record.clone();
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let route = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);
    // Version 1 leads to the first service, version 2 to the second one, and so on.
    let write = |store: &crate::store::Store, version: usize| {
        let service = SERVICES[(version - 1) % 2];
        let mut routes = vec![Route {
            name: "r-main".into(),
            address: route,
            service: service.into(),
        }];
        let idle = if has_trouble { IDLE_ROUTES } else { 8 };
        for number in 0..idle {
            let address =
                SocketAddrV4::new(Ipv4Addr::new(198, 18, 1, 1), 10_000 + number);
            let name = format!("r-idle-{number}");
            routes.push(Route { name, address, service: SERVICES[0].into() });
        }
        let text = config(version as u64, &routes, &["beleg", "kalender"], 2_000);
        let revision = store.put("op/config", &text);
        record.line(&format!(
            "operator: op/config version {version}, {route} leads to {service}, {} bytes, acked at revision {revision}",
            text.len()
        ));
        record.now_ms()
    };
    let mut acked_ms = vec![write(&world.store, 1)];
    let work =
        Work { slots: 5, queue: 20, time: Duration::from_millis(30), max_flows: 2_000 };
    let mut targets = Vec::new();
    world.add("front-nord", ZONE, "")?;
    for number in 1..=3 {
        for service in SERVICES {
            let index = world.add(&format!("side-{service}-{number}"), ZONE, service)?;
            let id = format!("{ZONE}-{service}-{number}");
            targets.push(Target::start(
                &id,
                &world.machines[index],
                work,
                &record,
                &runs,
            )?);
        }
    }
    for index in 0..world.machines.len() {
        world.start(index)?;
    }
    world.wait_until_ready(Duration::from_secs(15))?;
    sleep(Duration::from_secs(6));

    let front = world.machines[0].at(DATAGRAM);
    let client = Client::start(world.ip(251), vec![front], &record)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(String, u64, bool)>>> = Arc::default();
    // Clients that open a flow for each request, with pauses between them.
    let traffic: Vec<_> = (0..16)
        .map(|number| {
            let (client, is_over, sent) = (client.clone(), is_over.clone(), sent.clone());
            std::thread::spawn(move || {
                let mut count = 0;
                while !is_over.load(Ordering::Relaxed) {
                    count += 1;
                    let request = format!("attempt {number}-{count}");
                    let (sent_ms, outcome) = match client.open(route) {
                        Ok(mut flow) => {
                            let outcome = flow.request(&request, Duration::from_secs(2));
                            let sent_ms = flow.sent_ms;
                            flow.close();
                            (sent_ms, outcome)
                        }
                        Err((sent_ms, outcome)) => (sent_ms, outcome),
                    };
                    let is_served = matches!(outcome, Outcome::Done(_));
                    sent.lock().unwrap().push((request, sent_ms, is_served));
                    sleep(Duration::from_millis(30 + 5 * number));
                }
            })
        })
        .collect();
    sleep(PAUSE);
    for version in 2..2 + MOVES {
        acked_ms.push(write(&world.store, version));
        sleep(PAUSE);
    }
    is_over.store(true, Ordering::Relaxed);
    for thread in traffic {
        let _ = thread.join();
    }
    let ended = world.ended();
    if !ended.is_empty() {
        record.line(&format!("processes that ended by themselves: {ended:?}"));
    }

    let runs = runs.lock().unwrap();
    let sent = sent.lock().unwrap();
    let mut late = 0;
    for (index, acked) in acked_ms.iter().enumerate().skip(1) {
        let (new, old) = (SERVICES[index % 2], SERVICES[(index + 1) % 2]);
        let end = acked_ms.get(index + 1).copied().unwrap_or(u64::MAX);
        // Runs of requests that were sent while this version was the newest one.
        let mut seen: Vec<(u64, &Run)> = Vec::new();
        for (request, sent_ms, _) in sent.iter().filter(|s| s.1 >= *acked && s.1 < end) {
            let run = runs.iter().find(|run| run.request == *request);
            seen.extend(run.map(|run| (*sent_ms, run)));
        }
        let effect = seen
            .iter()
            .filter(|(_, run)| run.service == new)
            .map(|(_, run)| run.at_ms)
            .min();
        let effect = effect.ok_or("no target has seen the effect of a version")?;
        let is_late = |(sent_ms, run): &&(u64, &Run)| {
            run.service == old && *sent_ms > effect + ROLLBACK_SLACK_MS
        };
        record.line(&format!(
            "version {}: a target saw its effect {} ms after the ack",
            index + 1,
            effect - acked
        ));
        for (sent_ms, run) in seen.iter().filter(is_late) {
            late += 1;
            record.line(&format!(
                "late: {} was run by {} ({old}), sent {} ms after a target saw the effect of version {}",
                run.request,
                run.target,
                sent_ms - effect,
                index + 1
            ));
        }
    }
    let served = sent.iter().filter(|known| known.2).count();
    record.line(&format!(
        "requests: {} sent, {served} answered, all through front-nord",
        sent.len()
    ));
    record.line(&format!(
        "CONFIG: {late} requests were handled as only an older version allows, sent more than {ROLLBACK_SLACK_MS} ms after a target saw the effect of the newer one",
    ));
    Ok(late == 0)
}
