//! One scenario for each case.

use std::thread;
use std::time::{Duration, Instant};

use crate::check;
use crate::deployment::{Deployment, Route, SIGKILL, SIGTERM, Service};
use crate::record;
use crate::target::{OddWriter, Settings, Target};

const CALENDAR: &str = "abo-kalender";
const INVOICES: &str = "beleg-dienst";

/// Time for which a target is cold after its start, as on the users' sheet.
const COLD: Duration = Duration::from_secs(2);

/// Requests a second that a cold target bears.
const COLD_PER_S: f64 = 10.0;

/// Part at the end of the cold time that isn't judged, since clocks differ by milliseconds.
const COLD_MARGIN: Duration = Duration::from_millis(20);

/// `coldPerS` x `coldOverage` + `coldSlack`.
const COLD_BOUND: usize = (COLD_PER_S * 1.5 + 5.0) as usize;

/// Runs a case. Returns whether the rule was broken.
pub fn run(case: &str, has_trouble: bool) -> Result<bool, String> {
    let result = match case {
        "reused-address" => reused_address(has_trouble),
        "cold-return" => cold_return(has_trouble),
        "agent-kill" => agent_kill(has_trouble),
        "early-restart" => early_restart(has_trouble),
        "odd-report" => odd_report(has_trouble),
        "silent-store" => silent_store(has_trouble),
        _ => return Err(format!("there is no case {case}")),
    };
    result.map_err(|error| error.to_string())
}

type Outcome = Result<bool, Box<dyn std::error::Error>>;

fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn services() -> Vec<Service> {
    [CALENDAR, INVOICES]
        .map(|name| Service { name, cold: COLD, cold_per_s: COLD_PER_S })
        .to_vec()
}

fn routes(deployment: &Deployment) -> Vec<Route> {
    vec![
        Route {
            name: "sortenwechsel",
            kind: "non_idempotent",
            address: deployment.route(1),
            service: CALENDAR,
        },
        Route {
            name: "beleg-laden",
            kind: "download",
            address: deployment.route(2),
            service: INVOICES,
        },
    ]
}

/// A new lifetime at the same address with a new id, cold after its start.
fn reborn(settings: &Settings, id: &str) -> Settings {
    Settings { id: id.to_owned(), cold: COLD, ..settings.clone() }
}

/// Waits until a target has been acknowledged another report.
fn wait_report(target: &Target) -> Result<(), String> {
    let (before, end) = (target.reports(), Instant::now() + Duration::from_secs(5));
    while target.reports() == before {
        if Instant::now() > end {
            return Err("no report was acknowledged within 5 s".into());
        }
        sleep(1);
    }
    Ok(())
}

/// A target crashes, and `addrReuseS` later its address is that of a target of another service.
fn reused_address(has_trouble: bool) -> Outcome {
    let sides =
        [("raum-nord", CALENDAR), ("raum-sued", CALENDAR), ("raum-sued", INVOICES)];
    let mut deployment = Deployment::new(&["raum-nord", "raum-sued"], &sides)?;
    let routes = routes(&deployment);
    deployment.configure(4, &routes, &services());
    deployment.start_nodes()?;
    let mut targets = Vec::new();
    for side in &deployment.sides {
        targets.push(Target::start(side.target.clone())?);
    }
    deployment.wait_ready()?;
    sleep(4_000);
    let clients = [
        deployment.client(1, &routes[0], 40.0)?,
        deployment.client(2, &routes[1], 10.0)?,
    ];
    sleep(5_000);
    let crashed = targets.remove(0);
    if has_trouble {
        wait_report(&crashed)?;
        sleep(100);
        let settings = crashed.crash();
        sleep(2_100);
        let mut settings = reborn(&settings, "i-5c0de001");
        settings.service = INVOICES.to_owned();
        targets.push(Target::start(settings)?);
    } else {
        targets.push(crashed);
        sleep(2_100);
    }
    sleep(5_000);
    drop(clients);
    let ended = deployment.ended();
    let events = record::events();
    check::summarize(&events);
    let own = [(routes[0].address, CALENDAR), (routes[1].address, INVOICES)];
    let found = check::foreign_runs(&events, &own);
    record::say(&format!("processes that ended by themselves: {ended:?}"));
    record::say(&format!("requests that ran at another service: {}", found.len()));
    for line in &found {
        record::say(line);
    }
    Ok(!found.is_empty())
}

/// A target crashes and starts again 0.8 s later, cold.
fn cold_return(has_trouble: bool) -> Outcome {
    let sides =
        [("raum-nord", CALENDAR), ("raum-sued", CALENDAR), ("raum-sued", INVOICES)];
    let mut deployment = Deployment::new(&["raum-nord", "raum-sued"], &sides)?;
    let routes = routes(&deployment);
    deployment.configure(4, &routes, &services());
    deployment.start_nodes()?;
    let mut targets = Vec::new();
    for side in &deployment.sides {
        targets.push(Target::start(side.target.clone())?);
    }
    deployment.wait_ready()?;
    sleep(4_000);
    let clients = [deployment.client(1, &routes[0], 120.0)?];
    sleep(5_000);
    let first = targets.remove(0);
    let settings = if has_trouble {
        let settings = first.crash();
        sleep(800);
        settings
    } else {
        // Planned: the target drains, leaves, and starts again.
        first.drain();
        sleep(5_000);
        first.leave()
    };
    let settings = reborn(&settings, "i-5c0de002");
    let id = settings.id.clone();
    let since = record::now();
    targets.push(Target::start(settings)?);
    sleep(4_000);
    drop(clients);
    judge_cold(&mut deployment, &id, since)
}

/// A target starts during traffic, and the process beside it is killed while it is cold.
fn agent_kill(has_trouble: bool) -> Outcome {
    let sides = [("raum-nord", CALENDAR), ("raum-sued", INVOICES)];
    let mut deployment = Deployment::new(&["raum-nord", "raum-sued"], &sides)?;
    let routes = routes(&deployment);
    deployment.configure(4, &routes, &services());
    deployment.start_nodes()?;
    let mut targets = vec![Target::start(deployment.sides[1].target.clone())?];
    deployment.wait_ready()?;
    sleep(4_000);
    let clients = [deployment.client(1, &routes[0], 80.0)?];
    sleep(2_000);
    let settings = reborn(&deployment.sides[0].target, "i-5c0de003");
    let id = settings.id.clone();
    let since = record::now();
    targets.push(Target::start(settings)?);
    sleep(400);
    if has_trouble {
        let node = &mut deployment.sides[0].node;
        node.signal(SIGKILL);
        node.wait();
        sleep(200);
        node.start()?;
    }
    sleep(4_000);
    drop(clients);
    judge_cold(&mut deployment, &id, since)
}

/// A target starts during traffic, and the process beside it is restarted as planned shortly
/// after. The flows that were open before are used again after a pause.
fn early_restart(has_trouble: bool) -> Outcome {
    const PAUSE: Duration = Duration::from_secs(5);
    let sides =
        [("raum-nord", CALENDAR), ("raum-nord", INVOICES), ("raum-sued", INVOICES)];
    let mut deployment = Deployment::new(&["raum-nord", "raum-sued"], &sides)?;
    let routes = routes(&deployment);
    deployment.configure(4, &routes, &services());
    deployment.start_nodes()?;
    let mut targets = Vec::new();
    for side in &deployment.sides[1..] {
        targets.push(Target::start(side.target.clone())?);
    }
    deployment.wait_ready()?;
    // As in steady state, the other agents know all flows of their targets: those that they
    // don't know have been idle for longer than `idleTimeoutMs`.
    sleep(17_000);
    let _others = deployment.client(1, &routes[1], 5.0)?;
    let client = deployment.client_with(2, &routes[0], 60.0, 3, PAUSE)?;
    sleep(1_000);
    let settings = reborn(&deployment.sides[0].target, "i-5c0de004");
    let id = settings.id.clone();
    targets.push(Target::start(settings)?);
    sleep(200);
    client.open_no_more();
    if has_trouble {
        let node = &mut deployment.sides[0].node;
        node.signal(SIGTERM);
        node.wait();
        sleep(200);
        node.start()?;
    }
    sleep(14_000);
    drop(client);
    let ended = deployment.ended();
    let events = record::events();
    check::summarize(&events);
    let found = check::ended_flows(&events, &id);
    record::say(&format!("processes that ended by themselves: {ended:?}"));
    record::say(&format!(
        "open flows of live target {id} that a reset of the system ended: {}",
        found.len()
    ));
    for line in &found {
        record::say(line);
    }
    Ok(!found.is_empty())
}

/// The process beside a target is restarted as planned. Another writer sends status reports
/// that name an unknown service, before, meanwhile and after.
fn odd_report(has_trouble: bool) -> Outcome {
    const PAUSE: Duration = Duration::from_millis(200);
    let sides =
        [("raum-nord", CALENDAR), ("raum-nord", INVOICES), ("raum-sued", INVOICES)];
    let mut deployment = Deployment::new(&["raum-nord", "raum-sued"], &sides)?;
    let routes = routes(&deployment);
    deployment.configure(4, &routes, &services());
    deployment.start_nodes()?;
    let mut targets = Vec::new();
    for side in &deployment.sides {
        targets.push(Target::start(side.target.clone())?);
    }
    deployment.wait_ready()?;
    sleep(4_000);
    let _others = deployment.client(1, &routes[1], 5.0)?;
    let client = deployment.client_with(2, &routes[0], 10.0, 60, PAUSE)?;
    let settings = deployment.sides[0].target.clone();
    let id = settings.id.clone();
    let writer = has_trouble.then(|| OddWriter::start(settings));
    sleep(2_000);
    client.open_no_more();
    sleep(2_000);
    wait_report(&targets[0])?;
    let node = &mut deployment.sides[0].node;
    node.signal(SIGTERM);
    node.wait();
    sleep(200);
    node.start()?;
    sleep(5_000);
    drop(writer);
    drop(client);
    let ended = deployment.ended();
    let events = record::events();
    check::summarize(&events);
    let found = check::ended_flows(&events, &id);
    record::say(&format!("processes that ended by themselves: {ended:?}"));
    record::say(&format!(
        "open flows of live target {id} that a reset of the system ended: {}",
        found.len()
    ));
    for line in &found {
        record::say(line);
    }
    Ok(!found.is_empty())
}

fn judge_cold(deployment: &mut Deployment, id: &str, since: f64) -> Outcome {
    let ended = deployment.ended();
    let events = record::events();
    check::summarize(&events);
    let until = since + (COLD - COLD_MARGIN).as_secs_f64() * 1_000.0;
    let most = check::most_openings(&events, id, since, until);
    record::say(&format!("processes that ended by themselves: {ended:?}"));
    record::say(&format!(
        "openings that cold target {id} took in one second: {most}; bound {COLD_BOUND}"
    ));
    Ok(most > COLD_BOUND)
}

/// The store doesn't answer for a while. Once it has been sound again for longer than
/// `stableMs`, a route is added.
fn silent_store(has_trouble: bool) -> Outcome {
    const APPLY_MS: f64 = 3_000.0;
    let sides = [
        ("raum-nord", CALENDAR),
        ("raum-nord", INVOICES),
        ("raum-sued", CALENDAR),
        ("raum-sued", INVOICES),
    ];
    let mut deployment = Deployment::new(&["raum-nord", "raum-sued"], &sides)?;
    let mut routes = routes(&deployment);
    deployment.configure(4, &routes, &services());
    deployment.start_nodes()?;
    let mut targets = Vec::new();
    for side in &deployment.sides {
        targets.push(Target::start(side.target.clone())?);
    }
    deployment.wait_ready()?;
    sleep(4_000);
    let _steady = deployment.client(1, &routes[0], 20.0)?;
    sleep(3_000);
    if has_trouble {
        record::note("the store falls silent");
        deployment.store.set_silent(true);
    }
    sleep(4_500);
    if has_trouble {
        record::note("the store answers again");
        deployment.store.set_silent(false);
    }
    sleep(6_000);
    let added = Route {
        name: "vorschau",
        kind: "idempotent",
        address: deployment.route(3),
        service: CALENDAR,
    };
    routes.push(added.clone());
    let acknowledged = deployment.configure(9, &routes, &services());
    sleep(APPLY_MS as u64);
    let _clients =
        [deployment.client(2, &added, 20.0)?, deployment.client(3, &added, 20.0)?];
    sleep(6_000);
    drop(_clients);
    drop(_steady);
    let ended = deployment.ended();
    let events = record::events();
    check::summarize(&events);
    let found = check::refused_after(&events, added.address, acknowledged + APPLY_MS);
    record::say(&format!("processes that ended by themselves: {ended:?}"));
    record::say(&format!(
        "openings to the added route that were sent later than {APPLY_MS} ms after its acknowledgement and refused: {}",
        found.len()
    ));
    if let (Some((first, _)), Some((last, _))) = (found.first(), found.last()) {
        record::say(&format!(
            "the first was sent {:.0} ms after the acknowledgement, the last {:.0} ms",
            first - acknowledged,
            last - acknowledged
        ));
    }
    Ok(!found.is_empty())
}
