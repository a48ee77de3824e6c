//! Tests of the choice among agents by expected work.

mod fixture;

use std::net::SocketAddrV4;

use fixture::{
    CALENDAR, NOW, agent_address, agent_heartbeat, balancer_heartbeat, calendar, flow,
    routing,
};
use lentilreach_steer::process::roster::Roster;
use lentilreach_steer::request::completion;
use lentilreach_steer::request::message::{
    Heartbeat, Load, Message, RouteLoad, Stage, route_hash,
};
use lentilreach_steer::request::placement::{Request, choose_agent};

/// A load with the duration of a request and the mean number of jobs.
fn load(request_ms: u32, given: u32) -> Load {
    Load {
        given: given * 10,
        waiting: Vec::new(),
        slots: 2,
        request: request_ms * 10,
        routes: Vec::new(),
        floor: None,
        is_conditional: false,
    }
}

/// A heartbeat of an agent that states its load.
fn heartbeat(sequence: u32, domain: &str, load: Load) -> Heartbeat<'_> {
    Heartbeat { load: Some(load), ..agent_heartbeat(sequence, domain, Stage::Ready, 0) }
}

/// A roster of agents in failure domains with loads, numbered from 1.
fn roster(agents: &[(&str, Load)]) -> Roster {
    let mut roster = Roster::new();
    for (index, (domain, load)) in agents.iter().enumerate() {
        let address = agent_address(index as u8 + 1);
        let heartbeat = heartbeat(1, domain, load.clone());
        roster.record_heartbeat(NOW, address, &heartbeat).expect("the first");
    }
    roster.tick(NOW);
    roster
}

/// Hears the load of an agent again, often enough that its mean is known.
fn hear(roster: &mut Roster, number: u8, domain: &str, load: &Load) {
    let address = agent_address(number);
    let last = roster.get(address).expect("a member").sequence;
    for sequence in last + 1..last + 30 {
        let heartbeat = heartbeat(sequence, domain, load.clone());
        roster.record_heartbeat(NOW, address, &heartbeat).expect("later");
    }
}

/// The agent that is chosen for a flow from failure domain `a`.
fn choose(roster: &Roster, port: u16) -> Option<SocketAddrV4> {
    let flow = flow(port);
    let request = Request { flow: &flow, service: CALENDAR, domain: "a" };
    completion::choose(NOW, &routing(1), roster, request, &[]).map(|choice| choice.agent)
}

/// Places flows one after the other, and counts those on each agent.
fn place(roster: &mut Roster, agents: u8, flows: u16) -> Vec<u32> {
    let mut counts = vec![0; usize::from(agents)];
    for port in 1..=flows {
        let agent = choose(roster, port).expect("an agent");
        roster.record_placement(NOW, agent);
        counts[usize::from(agent.ip().octets()[3]) - 1] += 1;
    }
    counts
}

/// A backend server that is three times as slow gets less than a third of what others get,
/// but still something.
#[test]
fn slow_backend_servers_get_less() {
    let mut roster = roster(&[
        ("a", load(15, 0)),
        ("a", load(15, 0)),
        ("a", load(15, 0)),
        ("a", load(45, 0)),
    ]);

    let counts = place(&mut roster, 4, 400);

    assert!(counts[3] > 0, "{counts:?}");
    assert!(counts[3] * 3 < counts[0] * 2, "{counts:?}");
    assert!(counts[0].abs_diff(counts[1]) <= 2, "{counts:?}");
}

/// An agent that states nonsense must neither attract all flows nor stop the choice.
#[test]
fn nonsense_is_trusted_within_bounds() {
    let nonsense = Load { given: 0, slots: 0, ..load(0, 0) };
    let endless = load(u32::MAX / 10, u32::MAX / 10);
    let mut roster = roster(&[
        ("a", load(15, 1)),
        ("a", load(15, 1)),
        ("a", load(15, 1)),
        ("a", nonsense),
        ("a", endless),
    ]);

    let counts = place(&mut roster, 5, 500);

    assert!(counts[3] <= 250, "{counts:?}");
    assert!(counts[..3].iter().all(|count| *count >= 50), "{counts:?}");
}

/// Another failure domain is used when that is sooner for callers, and not before: links
/// between failure domains are slow and expensive.
#[test]
fn another_failure_domain_is_used_when_it_is_sooner() {
    let mut roster = roster(&[("a", load(20, 0)), ("b", load(20, 0))]);
    hear(&mut roster, 2, "b", &load(20, 0));
    let calm = choose(&roster, 1);

    hear(&mut roster, 1, "a", &load(20, 1));
    let half_busy = choose(&roster, 1);
    hear(&mut roster, 1, "a", &load(20, 4));
    let busy = choose(&roster, 1);

    assert_eq!(calm, Some(agent_address(1)));
    // All slots were taken for a second on average, but the wait is shorter than the link.
    assert_eq!(half_busy, Some(agent_address(1)));
    assert_eq!(busy, Some(agent_address(2)));
}

/// After the loss of power of all nodes, agents that have stated nothing yet must not look
/// idle to others.
#[test]
fn nothing_is_expected_of_an_agent_that_has_just_started() {
    let mut roster = roster(&[("a", load(20, 0)), ("b", load(20, 0))]);
    hear(&mut roster, 1, "a", &load(20, 4));

    let busy = choose(&roster, 1);

    assert_eq!(busy, Some(agent_address(1)));
}

/// Statements are a second old: one that shows an idle agent must not draw the flows of all
/// nodes to it until the next one.
#[test]
fn an_agent_that_looks_idle_does_not_draw_all_flows() {
    let agents: Vec<_> = (0..10).map(|n| ("a", load(15, u32::from(n > 0)))).collect();
    let before = roster(&agents);
    let mut counts = vec![0_u32; 10];

    // Twenty balancers that have heard the same statements.
    for balancer in 0..20_u16 {
        let mut roster = before.clone();
        for number in 0..10 {
            let port = balancer * 100 + number;
            let agent = choose(&roster, port).expect("an agent");
            roster.record_placement(NOW, agent);
            counts[usize::from(agent.ip().octets()[3]) - 1] += 1;
        }
    }

    let largest = counts.iter().max().expect("agents");
    assert!(*largest <= 200 / 10 * 3 / 2, "{counts:?}");
}

/// While some agents are of an older version and state nothing, flows are placed as before
/// by all nodes; so are flows that are open for many requests.
#[test]
fn flows_are_placed_as_before_where_the_work_is_not_known() {
    let mut mixed = roster(&[("a", load(15, 0)), ("a", load(15, 0))]);
    let older = agent_heartbeat(1, "a", Stage::Ready, 0);
    mixed.record_heartbeat(NOW, agent_address(3), &older).expect("the first");
    let route = RouteLoad { route: route_hash(calendar()), request: 150, is_long: true };
    let long = Load { routes: vec![route], ..load(15, 0) };
    let long = roster(&[("a", long), ("a", load(15, 0))]);

    let key = flow(1);
    let request = Request { flow: &key, service: CALENDAR, domain: "a" };
    let placed = choose_agent(NOW, &routing(1), &mixed, request, &[]);

    assert_eq!(choose(&mixed, 1), None);
    assert_eq!(choose(&long, 1), None);
    assert!(placed.is_some());
}

/// Loads of agents with these durations of a request, which count only while the backend
/// servers differ in speed.
fn conditional(durations_ms: &[u32]) -> Vec<(&'static str, Load)> {
    let load = |ms: &u32| Load { is_conditional: true, ..load(*ms, 0) };
    durations_ms.iter().map(|ms| ("a", load(ms))).collect()
}

/// Hears new durations of all agents, and returns whether flows are placed by them.
fn is_placed_by_work(roster: &mut Roster, durations_ms: &[u32]) -> bool {
    for (index, (domain, load)) in conditional(durations_ms).iter().enumerate() {
        hear(roster, index as u8 + 1, domain, load);
    }
    roster.tick(NOW);
    choose(roster, 1).is_some()
}

/// Where backend servers are alike, flows are placed as before. A difference that lies
/// between the two limits must not switch the placement back and forth.
#[test]
fn auto_places_by_work_while_backend_servers_differ_in_speed() {
    let alike = [20, 21, 22, 24, 26];
    let mut roster = roster(&conditional(&alike));

    let begin = choose(&roster, 1);
    let slightly = is_placed_by_work(&mut roster, &[20, 20, 20, 20, 34]);
    let clearly = is_placed_by_work(&mut roster, &[20, 20, 20, 20, 40]);
    let slightly_again = is_placed_by_work(&mut roster, &[20, 20, 20, 20, 34]);
    let at_last = is_placed_by_work(&mut roster, &alike);

    assert_eq!(begin, None);
    assert_eq!([slightly, clearly, slightly_again, at_last], [false, true, true, false]);
    let changes = [true, false].map(|is_uneven| (CALENDAR.into(), is_uneven));
    assert_eq!(roster.take_speed_changes(), changes);
}

/// One backend server of many that turned slow is avoided by other means, and a few
/// durations tell little.
#[test]
fn auto_needs_more_than_an_outlier() {
    let mut of_twelve = [20; 12];
    of_twelve[0] = 200;
    let three = conditional(&[20, 20, 60]);

    assert_eq!(choose(&roster(&conditional(&of_twelve)), 1), None);
    assert_eq!(choose(&roster(&three), 1), None);
}

/// A node of the version before must read the heartbeats of this one, and the other way
/// round, or halves of a fleet would not hear each other while it is updated.
#[test]
fn the_load_is_left_out_by_nodes_that_do_not_know_it() {
    let with_load = heartbeat(1, "a", load(15, 3));
    let without = agent_heartbeat(1, "a", Stage::Ready, 0);

    let new_bytes = Message::Heartbeat(with_load.clone()).encode();
    let old_bytes = Message::Heartbeat(without.clone()).encode();
    let (version, body) = new_bytes.split_first().expect("a version");
    let as_before: Message<'_> = postcard::from_bytes(body).expect("the older form");

    assert_eq!(*version, old_bytes[0]);
    assert_eq!(as_before, Message::Heartbeat(without.clone()));
    assert_eq!(Message::decode(&new_bytes), Some(Message::Heartbeat(with_load)));
    assert_eq!(Message::decode(&old_bytes), Some(Message::Heartbeat(without)));
    let balancer = Message::Heartbeat(balancer_heartbeat(1, "a"));
    assert_eq!(Message::decode(&balancer.encode()), Some(balancer));
}
