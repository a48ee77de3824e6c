//! A route moves to another service while the store turns two machines away.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::client::{Client, Outcome};
use crate::target::{Run, Target, Work};
use crate::world::{DATAGRAM, Route, World, config_with};

const ZONE: &str = "nord";
const BEFORE: &str = "kalender";
const AFTER: &str = "beleg";

/// The bound of the sheets, in milliseconds.
const ROLLBACK_SLACK_MS: u64 = 250;

/// Number of routes by which the configuration has grown, as in the site file.
const IDLE_ROUTES: u16 = 350;

/// Time for which the store turns machines away, as in the site file.
const REJECTED: Duration = Duration::from_secs(9);

/// Flows of each target, and clients that keep a flow open each. Two targets hold fewer.
const MAX_FLOWS: u32 = 20;
const CLIENTS: u64 = 48;

/// Time for which a client keeps a flow open.
const FLOW_LIFE: Duration = Duration::from_millis(2_500);

pub fn play(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let mut world = World::new(folder)?;
    let record = world.record.clone();
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let route = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);
    let write = |store: &crate::store::Store, version: u64, service: &str| {
        let mut routes = vec![Route {
            name: "r-main".into(),
            address: route,
            service: service.into(),
        }];
        let idle = if has_trouble { IDLE_ROUTES } else { 8 };
        for number in 0..idle {
            let address =
                SocketAddrV4::new(Ipv4Addr::new(198, 18, 1, 1), 10_000 + number);
            routes.push(Route {
                name: format!("r-idle-{number}"),
                address,
                service: BEFORE.into(),
            });
        }
        let text = config_with(version, &routes, &[AFTER, BEFORE], 2_000, MAX_FLOWS);
        let revision = store.put("op/config", &text);
        record.line(&format!(
            "operator: op/config version {version}, {route} leads to {service}, {} bytes, acked at revision {revision}",
            text.len()
        ));
    };
    write(&world.store, 1, BEFORE);
    let work = Work {
        slots: 5,
        queue: 20,
        time: Duration::from_millis(20),
        max_flows: MAX_FLOWS as usize,
    };
    let mut targets = Vec::new();
    world.add("front-nord", ZONE, "")?;
    let sides = [(BEFORE, "1"), (BEFORE, "2"), (BEFORE, "3"), (AFTER, "1"), (AFTER, "2")];
    for (service, number) in sides {
        let index = world.add(&format!("side-{service}-{number}"), ZONE, service)?;
        let id = format!("{ZONE}-{service}-{number}");
        targets.push(Target::start(&id, &world.machines[index], work, &record, &runs)?);
    }
    for index in 0..world.machines.len() {
        world.start(index)?;
    }
    world.wait_until_ready(Duration::from_secs(15))?;
    sleep(Duration::from_secs(6));

    let front = world.machines[0].at(DATAGRAM);
    let client = Client::start(world.ip(251), vec![front], &record)?;
    let is_over = Arc::new(AtomicBool::new(false));
    // The requests with the time at which the first SYN of their flow was sent.
    let sent: Arc<Mutex<Vec<(String, u64, bool)>>> = Arc::default();
    let traffic: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (client, is_over, sent) = (client.clone(), is_over.clone(), sent.clone());
            std::thread::spawn(move || {
                sleep(Duration::from_millis(50 * number));
                let mut count = 0;
                while !is_over.load(Ordering::Relaxed) {
                    let Ok(mut flow) = client.open(route) else {
                        sleep(Duration::from_millis(300));
                        continue;
                    };
                    let start = Instant::now();
                    while start.elapsed() < FLOW_LIFE && !is_over.load(Ordering::Relaxed)
                    {
                        count += 1;
                        let request = format!("attempt {number}-{count}");
                        let outcome = flow.request(&request, Duration::from_secs(2));
                        let is_served = matches!(outcome, Outcome::Done(_));
                        sent.lock().unwrap().push((request, flow.sent_ms, is_served));
                        if !is_served || flow.idle(Duration::from_millis(400)).is_some() {
                            break;
                        }
                    }
                    flow.close();
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(5));

    let rejected = [format!("side-{BEFORE}-1"), format!("side-{AFTER}-1")];
    if has_trouble {
        world.store.reject(&[&rejected[0], &rejected[1]]);
        record
            .line(&format!("store: turns away {rejected:?} with 503, serves all others"));
    }
    sleep(Duration::from_secs(1));
    write(&world.store, 2, AFTER);
    let acked_ms = record.now_ms();
    sleep(REJECTED - Duration::from_secs(1));
    world.store.reject(&[]);
    record.line("store: serves all machines");
    sleep(Duration::from_secs(4));
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
    let sent_ms =
        |request: &str| sent.iter().find(|known| known.0 == request).map_or(0, |s| s.1);
    let first = runs.iter().filter(|run| run.service == AFTER).map(|run| run.at_ms).min();
    let first = first.ok_or("no target has seen the effect of version 2")?;
    record.line(&format!(
        "a target saw the effect of version 2 {} ms after the ack",
        first - acked_ms
    ));
    let late: Vec<_> = runs
        .iter()
        .filter(|run| {
            run.service == BEFORE && sent_ms(&run.request) > first + ROLLBACK_SLACK_MS
        })
        .collect();
    for run in late.iter().take(10) {
        record.line(&format!(
            "late: {} was run by {}, its flow was opened {} ms after a target saw the effect of version 2",
            run.request,
            run.target,
            sent_ms(&run.request) - first
        ));
    }
    let served = sent.iter().filter(|known| known.2).count();
    let after = runs.iter().filter(|run| run.service == AFTER).count();
    record.line(&format!(
        "requests: {} sent, {served} answered, all through front-nord; {after} were run by {AFTER}",
        sent.len()
    ));
    record.line(&format!(
        "CONFIG: {} requests were run by {BEFORE}, which only version 1 allows, on flows opened more than {ROLLBACK_SLACK_MS} ms after a target saw the effect of version 2; the last one {} ms after it",
        late.len(),
        late.iter().map(|run| sent_ms(&run.request) - first).max().unwrap_or(0)
    ));
    world.quote_logs(&["\"event\":\"config\""], 3);
    Ok(late.is_empty())
}
