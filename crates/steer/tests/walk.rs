//! Tests of walks, which search for a flow at one agent after the other.

mod fixture;

use std::net::SocketAddrV4;

use fixture::{
    FIRST_SEQUENCE, INCARNATION, INVOICES, NOW, agent, agent_address, agent_and_roster,
    agent_heartbeat, arrival, balancer_address, decide_in_time, flow,
    flow_homed_elsewhere, flow_homed_here, limits, moved_routing, opening, report,
    request, returned, roster, routing, searched, sync_all, sync_status,
};
use lentilreach_steer::connection::flow;
use lentilreach_steer::process::agent::{Action, Agent, Cause};
use lentilreach_steer::process::roster::Roster;
use lentilreach_steer::request::message::{BackendStatus, Search, Stage, SyncStatus};
use lentilreach_steer::request::placement::homes;

/// A walk must not end at an agent without a backend server, since nobody would return
/// the segment.
#[test]
fn an_agent_without_a_backend_server_continues_a_walk() {
    let (_, roster) = agent_and_roster();
    let mut agent = fixture::start_agent(NOW, 1, "a", limits());
    let mut walk =
        arrival(request(flow_homed_elsewhere(&roster), FIRST_SEQUENCE), Search::Walk, 1);
    walk.forwarding.to_visit = vec![agent_address(2)];
    walk.forwarding.is_exhaustive = true;
    let later = NOW.after(2_100);
    let is_exhaustive = |agent: &mut Agent| match agent.handle_caller_segment(
        later,
        &routing(1),
        &roster,
        &walk,
    ) {
        Action::Forward { forwarding, .. } => forwarding.is_exhaustive,
        other => panic!("{other:?}"),
    };

    // Without a report, a backend server that can't report may still be there.
    assert!(!is_exhaustive(&mut agent));

    agent.record_absence(later);
    assert!(is_exhaustive(&mut agent));
    assert!(agent.has_no_backend() && agent.knows_all_flows());
}

/// Lets an agent of a roster send a heartbeat without a backend server, or with one of
/// another service.
fn change_backend(roster: &mut Roster, number: u8, service: Option<&'static str>) {
    let mut heartbeat = agent_heartbeat(30, "a", Stage::Ready, 0);
    heartbeat.backend_status = heartbeat.backend_status.and_then(|status| {
        let service = service?.into();
        Some(BackendStatus { service, ..status })
    });
    roster
        .record_heartbeat(NOW, agent_address(number), &heartbeat)
        .expect("a later heartbeat");
}

/// A walk must not carry agents that can't deliver the segment, since it can't carry many.
#[test]
fn a_walk_carries_no_agents_of_other_services() {
    let mut roster = roster(NOW, 6, &["a"]);
    let mut other = agent_heartbeat(9, "a", Stage::Ready, 0);
    other.backend_status.as_mut().expect("a status").service = INVOICES.into();
    roster.record_heartbeat(NOW, agent_address(3), &other).expect("a later heartbeat");
    let mut agent = agent(NOW, 1, "a");
    let key = flow_homed_here(&roster);

    let last = searched(&roster, request(key, FIRST_SEQUENCE), Search::Home(1));
    let action = decide_in_time(NOW, &mut agent, &routing(1), &roster, &last);

    let Action::Forward { to, forwarding, .. } = action else { panic!("{action:?}") };
    assert_eq!(forwarding.to_visit.len() + 1, 4);
    assert!(to != agent_address(3) && !forwarding.to_visit.contains(&agent_address(3)));
    assert!(!forwarding.is_exhaustive);
}

/// A walk that met an agent which had just stopped was lost, after it had shown the segment to
/// some backend servers. Agents that accept no flows may be about to stop.
#[test]
fn a_walk_visits_agents_that_are_closed_last() {
    let (mut agent, mut roster) = agent_and_roster();
    let key = flow_homed_here(&roster);
    let heartbeat = agent_heartbeat(2, "a", Stage::Closed, 0);
    for number in [2, 4] {
        roster
            .record_heartbeat(NOW, agent_address(number), &heartbeat)
            .expect("a later heartbeat");
    }
    let search = searched(&roster, request(key, FIRST_SEQUENCE), Search::Home(1));

    let action = decide_in_time(NOW, &mut agent, &routing(1), &roster, &search);

    let Action::Forward { to, forwarding, .. } = action else { panic!("{action:?}") };
    let mut visited = vec![to];
    visited.extend(forwarding.to_visit);
    let mut last = visited.split_off(3);
    last.sort();
    assert_eq!(last, [agent_address(2), agent_address(4)]);
}

/// A backend server that has returned a segment of a flow was shown each retransmission. It can't
/// hold the flow later, unless it is opened there.
#[test]
fn a_flow_is_not_asked_for_twice() {
    let roster = roster(NOW, 6, &["a", "b"]);
    let mut agent = fixture::start_agent(NOW, 1, "a", limits());
    agent.report(NOW, report(17));
    let segment = request(flow_homed_elsewhere(&roster), FIRST_SEQUENCE);
    let walk = arrival(segment, Search::Walk, 1);
    let first = agent.handle_caller_segment(NOW, &routing(1), &roster, &walk);
    let Action::Deliver { mark, .. } = first else { panic!("{first:?}") };

    agent.handle_backend_segment(NOW, &routing(1), &roster, &returned(segment, mark));
    let again = agent.handle_caller_segment(NOW, &routing(1), &roster, &walk);
    let opening = arrival(opening(segment.flow_from_caller(), 0), Search::Open, 1);
    let opened = agent.handle_caller_segment(NOW, &routing(1), &roster, &opening);
    let after = agent.handle_caller_segment(NOW, &routing(1), &roster, &walk);

    assert_eq!(again, Action::Drop(Cause::Unknown));
    assert!(matches!(opened, Action::Deliver { .. }), "{opened:?}");
    assert!(matches!(after, Action::Deliver { .. }), "{after:?}");
}

/// An open flow whose route now leads to another service was shown to all backend servers
/// that could not hold it, and to none that could.
#[test]
fn a_walk_includes_agents_of_services_that_the_route_led_to() {
    let (mut agent, mut roster) = agent_and_roster();
    change_backend(&mut roster, 2, Some(INVOICES));
    let routing = moved_routing(NOW);
    let key = flow_homed_here(&roster);
    let search = searched(&roster, request(key, FIRST_SEQUENCE), Search::Home(1));

    let action = decide_in_time(NOW, &mut agent, &routing, &roster, &search);

    let Action::Forward { to, forwarding, .. } = action else { panic!("{action:?}") };
    let mut visited = vec![to];
    visited.extend(forwarding.to_visit);
    // Agents of the services that the route leads to now come first.
    assert_eq!(visited.len(), 5);
    assert_eq!(visited[4], agent_address(2));
}

/// More agents than a message can carry may hold a flow, among them some that have not
/// heard of their backend servers yet.
#[test]
fn two_searches_visit_all_agents() {
    let mut agent = agent(NOW, 1, "a");
    let mut roster = roster(NOW, 60, &["a", "b"]);
    for number in 50..=60 {
        change_backend(&mut roster, number, None);
    }
    let key = flow_homed_here(&roster);
    let search = searched(&roster, request(key, FIRST_SEQUENCE), Search::Home(1));

    let mut visited = Vec::new();
    for _ in 0..2 {
        let action = decide_in_time(NOW, &mut agent, &routing(1), &roster, &search);
        let Action::Forward { to, forwarding, .. } = action else { panic!("{action:?}") };
        visited.push(to);
        visited.extend(forwarding.to_visit);
    }

    visited.sort_unstable();
    visited.dedup();
    assert_eq!(visited.len(), 59);
}

/// A walk must not reset a flow if an agent that may hold it is late with its heartbeats.
#[test]
fn a_walk_that_could_not_ask_all_agents_resets_nothing() {
    let (mut agent, mut roster) = agent_and_roster();
    let key = flow_homed_here(&roster);
    sync_all(NOW, &mut roster, agent_address(1));
    let last = searched(&roster, request(key, FIRST_SEQUENCE), Search::Home(1));
    let action = decide_in_time(NOW, &mut agent, &routing(1), &roster, &last);
    assert!(
        matches!(action, Action::Refuse { cause: Cause::NotFound, .. }),
        "{action:?}"
    );

    // Another agent has been silent for a while and may return.
    let (far, late) = (agent_address(9), NOW.after(2_600));
    roster
        .record_heartbeat(NOW, far, &agent_heartbeat(1, "a", Stage::Ready, 0))
        .expect("a first heartbeat");
    for number in 1..=6 {
        let heartbeat = agent_heartbeat(9, "a", Stage::Ready, 0);
        roster
            .record_heartbeat(late, agent_address(number), &heartbeat)
            .expect("a later heartbeat");
    }
    roster.tick(late);
    sync_all(late, &mut roster, far);
    let action = decide_in_time(late, &mut agent, &routing(1), &roster, &last);
    assert_eq!(action, Action::Drop(Cause::Unknown));
}

/// A walk must not reset a flow if the node that started it didn't know the flow's agent
/// yet.
#[test]
fn a_walk_that_left_out_an_agent_resets_nothing() {
    let full = roster(NOW, 6, &["a", "b"]);
    for port in 1..60 {
        let key = flow(port);
        for holder in (1..=6).map(agent_address) {
            let fewer = roster_without(holder);
            let home = homes(&fewer, &key)[0].expect("a home");

            let (end, asked) = walk(key, home, |node| {
                assert_ne!(node, holder, "the walk leaves it out");
                if node == home { &fewer } else { &full }
            });

            assert_eq!(end, Action::Drop(Cause::Unknown));
            assert_eq!(asked.len(), 5);
        }
    }
}

/// A walk can't carry all agents of a large deployment. Retransmissions must reach the others,
/// or a flow that lives at one of them gets no segment for as long as it is searched for.
#[test]
fn retransmissions_visit_the_agents_that_earlier_walks_left_out() {
    let roster = roster(NOW, 90, &["a", "b", "c"]);
    let mut agent = agent(NOW, 1, "a");
    let key = flow_homed_here(&roster);
    let mut visited = Vec::new();

    for attempt in 0..3 {
        let now = NOW.after(attempt * 200);
        let last = searched(&roster, request(key, FIRST_SEQUENCE), Search::Home(1));
        let action = decide_in_time(now, &mut agent, &routing(1), &roster, &last);
        let Action::Forward { to, forwarding, .. } = action else { panic!("{action:?}") };
        visited.push(to);
        visited.extend(forwarding.to_visit);
    }

    for number in 2..=90 {
        assert!(visited.contains(&agent_address(number)), "agent {number}");
    }
}

/// A walk ends at an agent that has just stopped and is not silent yet. It must visit those
/// first that have answered since the search began.
#[test]
fn a_walk_visits_agents_that_have_answered_first() {
    let mut roster = roster(NOW, 6, &["a"]);
    let mut agent = agent(NOW, 1, "a");
    let key = flow_homed_here(&roster);
    let mut attempt = |roster: &Roster| {
        let last = searched(roster, request(key, FIRST_SEQUENCE), Search::Home(1));
        match decide_in_time(NOW, &mut agent, &routing(1), roster, &last) {
            Action::Forward { to, forwarding, .. } => {
                [vec![to], forwarding.to_visit].concat()
            }
            other => panic!("{other:?}"),
        }
    };
    let before = attempt(&roster);
    let stopped = before[0];

    let others = before.iter().filter(|address| **address != stopped);
    for address in others {
        let mut heartbeat = agent_heartbeat(9, "a", Stage::Ready, 0);
        let status = SyncStatus { is_complete: false, ..sync_status(&roster, 0) };
        heartbeat.sync_status = Some(status);
        roster.record_heartbeat(NOW, *address, &heartbeat).expect("a later heartbeat");
    }

    assert_eq!(attempt(&roster).last(), Some(&stopped));
}

/// A walk must end even if nodes know different members. Two nodes used to send the
/// segment back and forth until the hop limit.
#[test]
fn a_walk_ends_if_nodes_know_different_members() {
    let all = roster(NOW, 9, &["a", "b", "c"]);
    let mut fewer = roster(NOW, 9, &["a", "b", "c"]);
    fewer.remove(agent_address(3), INCARNATION);
    fewer.remove(agent_address(7), INCARNATION);
    fewer.remove(balancer_address(1), INCARNATION);

    for port in 1..200 {
        let key = flow(port);
        let home = homes(&all, &key)[0].expect("a home");
        let is_odd = |node: SocketAddrV4| node.ip().octets()[3] % 2 == 1;

        let (_, asked) = walk(key, home, |node| if is_odd(node) { &fewer } else { &all });

        assert!(asked.len() >= 7, "{} agents are asked", asked.len());
    }
}

/// The roster of [`agent_and_roster`] without one agent.
fn roster_without(missing: SocketAddrV4) -> Roster {
    let mut roster = Roster::new();
    for agent in (1..=6).map(agent_address).filter(|agent| *agent != missing) {
        let heartbeat = agent_heartbeat(1, "a", Stage::Ready, 0);
        roster.record_heartbeat(NOW, agent, &heartbeat).expect("a first heartbeat");
    }
    roster
}

/// Sends a segment of a flow to its second home node and follows it until it is not
/// forwarded any more. Returns the last action and all agents that the segment visited.
///
/// # Panics
/// If the walk visits an agent twice.
fn walk<'a>(
    key: flow::Key,
    home: SocketAddrV4,
    roster: impl Fn(SocketAddrV4) -> &'a Roster,
) -> (Action, Vec<SocketAddrV4>) {
    let mut arrival = arrival(request(key, FIRST_SEQUENCE), Search::Home(1), 1);
    let (mut to, mut asked, mut walked) = (home, Vec::new(), Vec::new());
    loop {
        if arrival.forwarding.search == Search::Walk {
            assert!(!walked.contains(&to), "{to} is asked twice");
            walked.push(to);
        }
        if !asked.contains(&to) {
            asked.push(to);
        }
        let number = to.ip().octets()[3];
        let action = decide_in_time(
            NOW,
            &mut agent(NOW, number, "a"),
            &routing(1),
            roster(to),
            &arrival,
        );
        match action {
            Action::Forward { to: next, forwarding, .. } => {
                (to, arrival.forwarding) = (next, forwarding)
            }
            action => return (action, asked),
        }
    }
}
