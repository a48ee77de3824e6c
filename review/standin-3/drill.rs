//! The store comes back from a copy some seconds old. After that, a zone is evacuated.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use crate::client::Client;
use crate::target::{Run, Target, Work};
use crate::world::{DATAGRAM, Route, World, config};

const ZONES: [&str; 2] = ["nord", "sued"];
const SERVICE: &str = "kalender";

/// The bound of the sheets, in milliseconds.
const EVACUATE_MS: u64 = 5_000;

/// Number of changes of the configuration that are younger than the copy, and the time between.
const CHANGES: u64 = 8;
const CHANGE_PAUSE: Duration = Duration::from_millis(700);

pub fn play(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let mut world = World::new(folder)?;
    let record = world.record.clone();
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let route = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);
    let write = |store: &crate::store::Store, version: u64, timeout_ms: u64| {
        let routes =
            [Route { name: "r-main".into(), address: route, service: SERVICE.into() }];
        let text = config(version, &routes, &[SERVICE], timeout_ms);
        let revision = store.put("op/config", &text);
        record.line(&format!(
            "operator: op/config version {version}, acked at revision {revision}"
        ));
        text
    };
    write(&world.store, 1, 2_000);
    let work =
        Work { slots: 5, queue: 20, time: Duration::from_millis(30), max_flows: 2_000 };
    let mut targets = Vec::new();
    for zone in ZONES {
        world.add(&format!("front-{zone}"), zone, "")?;
        for number in 1..=2 {
            let index = world.add(&format!("side-{zone}-{number}"), zone, SERVICE)?;
            let id = format!("{zone}-{SERVICE}-{number}");
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

    let front = world.machines[0].at(DATAGRAM);
    let client = Client::start(world.ip(251), vec![front], &record)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(Mutex::new((0, 0)));
    let traffic: Vec<_> = (0..2)
        .map(|number| {
            let (client, is_over, served) =
                (client.clone(), is_over.clone(), served.clone());
            std::thread::spawn(move || {
                let mut count = 0;
                while !is_over.load(Ordering::Relaxed) {
                    count += 1;
                    let request = format!("attempt {number}-{count}");
                    let answer = client.open(route).map(|mut flow| {
                        let outcome = flow.request(&request, Duration::from_secs(2));
                        flow.close();
                        outcome
                    });
                    let is_served = matches!(answer, Ok(crate::client::Outcome::Done(_)));
                    let mut served = served.lock().unwrap();
                    served.0 += u32::from(is_served);
                    served.1 += 1;
                    drop(served);
                    sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(8));

    // The copy that the store comes back from.
    let copy = world.store.copy();
    record.line(&format!("store: copy taken at revision {}", world.store.revision()));
    let mut newest = String::new();
    for version in 2..2 + CHANGES {
        newest = write(&world.store, version, 2_000 + version);
        sleep(CHANGE_PAUSE);
    }
    if has_trouble {
        record.line(&format!("store: away at revision {}", world.store.revision()));
        world.store.set_away(true);
        sleep(Duration::from_secs(1));
        world.store.restore(copy);
        // What the operator wrote is written again.
        let revision = world.store.put("op/config", &newest);
        world.store.set_away(false);
        record.line(&format!(
            "store: back from the copy, a later era; op/config written again at revision {revision}"
        ));
    }
    // Longer than the time after which machines are in touch again.
    let before = world.store.calls();
    sleep(Duration::from_secs(10));
    let after = world.store.calls();
    record.line(&format!(
        "store: {} calls in 10 s of calm, {} of them answered with 410",
        after.0 - before.0,
        after.1 - before.1
    ));

    let revision = world.store.put(&format!("op/evacuate/{}", ZONES[0]), "{}");
    let acked_ms = record.now_ms();
    record.line(&format!(
        "operator: op/evacuate/{} acked at revision {revision}",
        ZONES[0]
    ));
    sleep(Duration::from_secs(15));
    is_over.store(true, Ordering::Relaxed);
    for thread in traffic {
        let _ = thread.join();
    }
    let ended = world.ended();
    if !ended.is_empty() {
        record.line(&format!("processes that ended by themselves: {ended:?}"));
    }
    let (served, sent) = *served.lock().unwrap();
    let runs = runs.lock().unwrap();
    let in_zone = |run: &&Run| run.target.starts_with(ZONES[0]);
    let late: Vec<_> = runs
        .iter()
        .filter(in_zone)
        .filter(|run| run.opened_ms > acked_ms + EVACUATE_MS)
        .collect();
    let before =
        runs.iter().filter(in_zone).filter(|run| run.opened_ms < acked_ms).count();
    record.line(&format!("requests: {sent} sent, {served} answered; {before} were run in {} before its evacuation", ZONES[0]));
    record.line(&format!(
        "EVAC: {} requests were run in {} whose opening packet came later than {EVACUATE_MS} ms after the ack; the last one {} ms after it",
        late.len(),
        ZONES[0],
        late.iter().map(|run| run.opened_ms - acked_ms).max().unwrap_or(0)
    ));
    for run in late.iter().take(5) {
        record.line(&format!(
            "late: {} at {}, opened {} ms after the ack",
            run.request,
            run.target,
            run.opened_ms - acked_ms
        ));
    }
    if before == 0 || targets.is_empty() {
        return Err("the zone had no requests before".into());
    }
    Ok(late.is_empty())
}
