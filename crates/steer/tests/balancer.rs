//! Tests of a balancer's decisions on segments.

mod fixture;

use fixture::{agent_address, agent_heartbeat, flow, opening, request, roster, routing};
use lentilreach::process::clock::Millis;
use lentilreach_steer::process::balancer::{Action, Balancer, DropReason, Refusal};
use lentilreach_steer::process::roster::{
    JOIN_TIMEOUT_MS, REMOVAL_MS, Role, Roster, SILENT_MS,
};
use lentilreach_steer::request::message::{Search, Stage};
use lentilreach_steer::request::placement::homes;

const START: Millis = Millis(10_000);

/// Creates a balancer in the first failure domain that has been running for a long time.
fn balancer() -> Balancer {
    Balancer::new(Millis(0), "a".into(), 1_000)
}

/// Records a heartbeat of every agent except for those in `silent`.
fn record_heartbeats(roster: &mut Roster, now: Millis, sequence: u32, silent: &[u8]) {
    for number in (1..=6).filter(|number| !silent.contains(number)) {
        let heartbeat = agent_heartbeat(sequence, "a", Stage::Ready, 0);
        roster
            .record_heartbeat(now, agent_address(number), &heartbeat)
            .expect("a later heartbeat");
    }
}

/// The number of the agent that a segment is sent to.
fn target(action: &Action) -> u8 {
    match action {
        Action::Send { to, .. } => to.ip().octets()[3],
        other => panic!("not sent: {other:?}"),
    }
}

/// Retransmissions of an opening segment must not open the flow at a second backend
/// server.
#[test]
fn retransmissions_follow_the_first_while_its_agent_is_alive() {
    let mut roster = roster(START, 6, &["a"]);
    let (mut balancer, routing) = (balancer(), routing(1));
    let first = balancer.handle_segment(START, &routing, &roster, &opening(flow(1), 0));
    let later = START.after(200);
    record_heartbeats(&mut roster, START.after(100), 2, &[]);

    let copy = balancer.handle_segment(later, &routing, &roster, &opening(flow(1), 1));

    assert_eq!(target(&copy), target(&first));
}

/// The first retransmission goes to the same agent, because often only the answer was
/// lost. Another agent would accept the flow as well and could later be taken for the one
/// that holds it.
#[test]
fn the_first_retransmission_follows_the_opening_segment() {
    let roster = roster(START, 6, &["a"]);
    let (mut balancer, routing) = (balancer(), routing(1));
    let now = START.after(500);
    let first = balancer.handle_segment(now, &routing, &roster, &opening(flow(1), 0));

    let later = now.after(200);
    let copy = balancer.handle_segment(later, &routing, &roster, &opening(flow(1), 1));

    assert_eq!(target(&copy), target(&first));
}

/// If an agent fails between two heartbeats, later retransmissions must go to another
/// agent.
#[test]
fn later_retransmissions_go_elsewhere_without_a_heartbeat() {
    let roster = roster(START, 6, &["a"]);
    let (mut balancer, routing) = (balancer(), routing(1));
    let now = START.after(500);
    let first = balancer.handle_segment(now, &routing, &roster, &opening(flow(1), 0));

    let later = now.after(600);
    let copy = balancer.handle_segment(later, &routing, &roster, &opening(flow(1), 2));

    assert_ne!(target(&copy), target(&first));
}

/// If routers send an open flow through another balancer, that one asks a home node.
#[test]
fn an_unknown_flow_goes_to_its_home() {
    let roster = roster(START, 6, &["a", "b"]);
    let mut balancer = balancer();
    let home = homes(&roster, &flow(1))[0].expect("a home");

    let action =
        balancer.handle_segment(START, &routing(1), &roster, &request(flow(1), 9));

    let expected = Action::Send {
        to: home,
        search: Search::Home(0),
        service: None,
        is_newly_selected: true,
    };
    assert_eq!(action, expected);
}

/// Once a flow was found, its segments are sent directly to its agent.
#[test]
fn segments_of_a_found_flow_go_to_its_agent() {
    let roster = roster(START, 6, &["a", "b"]);
    let mut balancer = balancer();
    balancer.flow_found(START, flow(1), agent_address(4));

    let action =
        balancer.handle_segment(START, &routing(1), &roster, &request(flow(1), 9));

    assert!(matches!(action, Action::Send { search: Search::Known, .. }), "{action:?}");
    assert_eq!(target(&action), 4);
}

/// A new balancer that missed the first heartbeat of an agent must not reset the agent's
/// flows.
#[test]
fn an_agent_without_a_heartbeat_is_not_taken_for_dead() {
    let mut roster = Roster::new();
    for number in 1..=6 {
        roster.insert_unheard(START, agent_address(number), Role::Agent, "a".into());
    }
    record_heartbeats(&mut roster, START.after(10), 1, &[4]);
    let mut balancer = balancer();
    balancer.flow_found(START.after(20), flow(1), agent_address(4));
    record_heartbeats(&mut roster, START.after(1_010), 2, &[4]);

    let now = START.after(1_100);
    roster.tick(now);
    let action = balancer.handle_segment(now, &routing(1), &roster, &request(flow(1), 9));

    assert_eq!(target(&action), 4);
}

/// However long an agent is silent, a balancer must not reset its flows, since the backend
/// server may be alive. Home nodes may know that the flow is at another agent, so they are
/// asked first.
#[test]
fn flows_of_a_silent_agent_are_searched_for() {
    for silent_ms in [SILENT_MS + 1, REMOVAL_MS - 1_000] {
        let mut roster = roster(START, 6, &["a"]);
        let mut balancer = balancer();
        balancer.flow_found(START, flow(1), agent_address(4));
        let now = START.after(silent_ms);
        record_heartbeats(&mut roster, now, 2, &[4]);
        roster.tick(now);
        let [first, second] = homes(&roster, &flow(1)).map(|home| home.expect("a home"));
        let mut attempt = |after_ms| {
            let segment = request(flow(1), 9);
            let now = now.after(after_ms);
            match balancer.handle_segment(now, &routing(1), &roster, &segment) {
                Action::Send { to, search, .. } => (to, search),
                other => panic!("not sent: {other:?}"),
            }
        };

        assert_eq!(attempt(0), (first, Search::Home(0)));
        assert_eq!(attempt(200), (second, Search::Home(1)));
        assert_eq!(attempt(600), (agent_address(4), Search::Known));
    }
}

/// A balancer that was cut off or paused must not reset the flows of all agents.
#[test]
fn an_isolated_balancer_ends_no_flow() {
    let mut roster = roster(START, 6, &["a"]);
    let mut balancer = balancer();
    balancer.flow_found(START, flow(1), agent_address(4));
    let now = START.after(SILENT_MS + 1_001);
    record_heartbeats(&mut roster, now, 2, &[1, 3, 4, 5]);
    roster.tick(now);

    let action = balancer.handle_segment(now, &routing(1), &roster, &request(flow(1), 9));

    assert_eq!(target(&action), 4);
}

/// A balancer may only refuse an opening for lack of a route once it has a configuration,
/// and for lack of an agent once agents had time to answer.
#[test]
fn openings_are_refused_for_a_reason_or_dropped() {
    let empty = Roster::new();
    let mut balancer = Balancer::new(START, "a".into(), 1_000);
    let unknown = lentilreach_steer::version::routing::Routing::default();
    let mut other = opening(flow(1), 0);
    other.destination.set_port(9);

    let mut decide = |now, routing: &_, segment: &_| {
        balancer.handle_segment(now, routing, &empty, segment)
    };

    let segment = opening(flow(1), 0);
    assert_eq!(decide(START, &unknown, &segment), Action::Drop(DropReason::NoConfig));
    let no_route = Action::Refuse { sequence: 0, cause: Refusal::NoRoute };
    assert_eq!(decide(START, &routing(1), &other), no_route);
    assert_eq!(decide(START, &routing(1), &segment), Action::Drop(DropReason::NoMember));
    let no_agent = Action::Refuse { sequence: 0, cause: Refusal::NoAgent };
    let later = START.after(JOIN_TIMEOUT_MS + 1);
    assert_eq!(decide(later, &routing(1), &segment), no_agent);
}

/// If a home node doesn't answer, retransmissions must not all be sent to it.
#[test]
fn a_home_that_does_not_answer_is_skipped() {
    let roster = roster(START, 6, &["a", "b"]);
    let mut balancer = balancer();
    let [first, second] = homes(&roster, &flow(1));
    let mut ask = |ms| {
        let now = START.after(ms);
        match balancer.handle_segment(now, &routing(1), &roster, &request(flow(1), 9)) {
            Action::Send { to, search, .. } => (Some(to), search),
            other => panic!("not sent: {other:?}"),
        }
    };

    // Segments of one burst are sent the same way; a retransmission follows after 200 ms.
    assert_eq!(ask(0), (first, Search::Home(0)));
    assert_eq!(ask(5), (first, Search::Home(0)));
    assert_eq!(ask(200), (second, Search::Home(1)));
    assert_eq!(ask(600).1, Search::Fallback);
    assert_eq!(ask(1_400), (first, Search::Home(0)));
}
