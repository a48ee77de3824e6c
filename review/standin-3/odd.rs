//! A status report of another writer, with fields missing, arrives at an agent.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use crate::client::{Client, Outcome};
use crate::target::{Run, Target, Work, put};
use crate::world::{CONTROL, DATAGRAM, Route, World, config, unix_ms};

const ZONE: &str = "nord";
const SERVICES: [&str; 2] = ["kalender", "beleg"];

/// Long flows of the first service, each with a request every 0.4 s.
const FLOWS: usize = 12;

pub fn play(folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let mut world = World::new(folder)?;
    let record = world.record.clone();
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let address = |number| SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, number), 8443);
    let routes: Vec<_> = SERVICES
        .iter()
        .zip(1..)
        .map(|(service, number)| Route {
            name: format!("r-{service}"),
            address: address(number),
            service: (*service).into(),
        })
        .collect();
    world.store.put("op/config", &config(1, &routes, &["beleg", "kalender"], 2_000));
    let work =
        Work { slots: 5, queue: 20, time: Duration::from_millis(30), max_flows: 2_000 };
    world.add("front-nord", ZONE, "")?;
    let mut targets = Vec::new();
    for service in SERVICES {
        for number in 1..=2 {
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
    sleep(Duration::from_secs(8));

    let front = world.machines[0].at(DATAGRAM);
    let client = Client::start(world.ip(251), vec![front], &record)?;
    let flows: Vec<_> = (0..FLOWS)
        .map(|number| {
            let (client, record) = (client.clone(), record.clone());
            std::thread::spawn(move || {
                let mut flow = client.open(address(1)).ok()?;
                for count in 1..=30 {
                    let request = format!("r-kalender attempt {number}-{count}");
                    let outcome = match flow.request(&request, Duration::from_secs(2)) {
                        Outcome::Done(_) => flow.idle(Duration::from_millis(400)),
                        outcome => Some(outcome),
                    };
                    if let Some(outcome) = outcome {
                        record.line(&format!(
                            "flow {number}: ended after {count} requests: {outcome:?}"
                        ));
                        return Some(outcome);
                    }
                }
                flow.close();
                None
            })
        })
        .collect();
    let is_over = Arc::new(AtomicBool::new(false));
    // Clients of the second service open a flow for each request.
    let others: Vec<_> = (0..4)
        .map(|number| {
            let (client, is_over) = (client.clone(), is_over.clone());
            std::thread::spawn(move || {
                let mut count = 0;
                while !is_over.load(Ordering::Relaxed) {
                    count += 1;
                    if let Ok(mut flow) = client.open(address(2)) {
                        let request = format!("r-beleg attempt {number}-{count}");
                        let _ = flow.request(&request, Duration::from_secs(2));
                        flow.close();
                    }
                    sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(4));
    let open: Vec<_> = targets.iter().map(|target| target.open()).collect();
    record.line(&format!("open flows of the targets: {open:?}"));
    let control = world.machines[1].at(CONTROL);
    if has_trouble {
        // `address`, `zone` and `version` are missing.
        let body = format!(
            "{{\"service\":\"beleg\",\"slots\":5,\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":1,\"born\":{}}}",
            unix_ms()
        );
        let status = put(control, "i-other", &body);
        record.line(&format!(
            "another writer, to side-kalender-1: PUT /lentilreach/targets/i-other {body} -> {status:?}"
        ));
    }
    let mut resets = 0;
    for flow in flows {
        resets += u32::from(matches!(flow.join(), Ok(Some(Outcome::ResetBySystem))));
    }
    // What comes after: new flows of the first service.
    let from = record.now_ms();
    for number in 0..40 {
        if let Ok(mut flow) = client.open(address(1)) {
            let _ = flow
                .request(&format!("r-kalender later {number}"), Duration::from_secs(2));
            flow.close();
        }
        sleep(Duration::from_millis(50));
    }
    is_over.store(true, Ordering::Relaxed);
    for thread in others {
        let _ = thread.join();
    }
    let ended = world.ended();
    if !ended.is_empty() {
        record.line(&format!("processes that ended by themselves: {ended:?}"));
    }
    let runs = runs.lock().unwrap();
    for target in &targets {
        let of_target = || runs.iter().filter(|run| run.target == target.id);
        let later =
            of_target().filter(|run| run.at_ms >= from && run.request.contains("later"));
        record.line(&format!(
            "target {}: {} runs, {} of 40 later requests of r-kalender",
            target.id,
            of_target().count(),
            later.count()
        ));
    }
    record.line(&format!(
        "besides, {resets} of {FLOWS} open flows got a reset that their target didn't send, while all targets live"
    ));
    let is_foreign =
        |run: &&Run| !run.request.starts_with(&format!("r-{} ", run.service));
    let foreign: Vec<_> = runs.iter().filter(is_foreign).collect();
    for run in foreign.iter().take(5) {
        record.line(&format!(
            "foreign: {} was run by {} ({})",
            run.request, run.target, run.service
        ));
    }
    record.line(&format!(
        "ROUTE: {} requests were run by a service to which no configuration allows them to go",
        foreign.len()
    ));
    if open[0] + open[1] < FLOWS {
        return Err("not all flows were open".into());
    }
    Ok(foreign.is_empty())
}
