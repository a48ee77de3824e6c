//! Tests of how priorities that have no room are detected and refused.

mod fixture;

use fixture::{agent_heartbeat, calendar, flow, opening, routing};
use lentilreach::process::clock::Millis;
use lentilreach_steer::process::balancer::{Action, Balancer, Refusal};
use lentilreach_steer::process::roster::Roster;
use lentilreach_steer::process::schedule::pressure::Pressure;
use lentilreach_steer::request::message::{Heartbeat, Load, Stage};

/// Interval in which waits are compared, in milliseconds.
const INTERVAL_MS: u64 = 500;

/// A queue in whose intervals priority 1 is served after a wait, and the oldest job of
/// priority 2 waits.
fn crowded(intervals: u64) -> Pressure {
    let mut pressure = Pressure::default();
    for interval in 1..=intervals {
        let now = Millis(10_000 + interval * INTERVAL_MS);
        pressure.record(1, 50);
        pressure.tick(now, [(1, now), (2, Millis(now.0 - 1_200))].into_iter());
    }
    pressure
}

/// A load with a floor.
fn load(floor: Option<u8>) -> Load {
    let (given, slots, request) = (70, 5, 400);
    let (waiting, routes) = (Vec::new(), Vec::new());
    Load { given, waiting, slots, request, routes, floor, is_conditional: false }
}

/// A roster of agents that state these floors.
fn roster(floors: &[Option<u8>]) -> Roster {
    let mut roster = Roster::new();
    for (number, floor) in floors.iter().enumerate() {
        let mut heartbeat = agent_heartbeat(1, "a", Stage::Ready, 0);
        heartbeat.load = Some(load(*floor));
        let address = fixture::agent_address(number as u8 + 1);
        roster.record_heartbeat(fixture::NOW, address, &heartbeat).expect("the first");
    }
    roster.tick(fixture::NOW);
    roster
}

/// Whether a balancer refuses an opening of a priority.
fn is_refused(roster: &Roster, priority: u8) -> bool {
    let mut routing = routing(1);
    let route = routing.routes.iter_mut().find(|route| route.address == calendar());
    route.expect("a route").priority = priority;
    let mut balancer = Balancer::new(fixture::NOW, "a".into(), 100);
    let segment = opening(flow(1), 0);
    let action = balancer.handle_segment(fixture::NOW, &routing, roster, &segment);
    action == Action::Refuse { sequence: 0, cause: Refusal::Overloaded }
}

/// A burst makes a queue long, but as long as some job of a priority is served soon, others
/// will be.
#[test]
fn a_burst_does_not_close_a_priority() {
    let mut pressure = Pressure::default();
    for interval in 1..=10 {
        let now = Millis(10_000 + interval * INTERVAL_MS);
        pressure.record(2, 900);
        pressure.record(2, 1_200);
        pressure.tick(now, [(2, Millis(now.0 - 1_200))].into_iter());
    }

    assert_eq!(pressure.floor(), None);
    assert_eq!(crowded(1).floor(), None);
}

/// A level that follows every interval would let callers in and out in turn.
#[test]
fn a_priority_closes_and_opens_with_hysteresis() {
    let mut pressure = crowded(2);
    let closed = pressure.floor();

    // Nothing of the refused priority waits any more, but slots are still taken.
    let taken = Millis(12_000);
    pressure.record(1, 30);
    pressure.tick(taken, [(1, taken)].into_iter());
    let still_closed = pressure.floor();
    let mut floors = Vec::new();
    for interval in 1..=2 {
        let now = taken.after(interval * INTERVAL_MS);
        pressure.record(1, 0);
        pressure.tick(now, std::iter::empty());
        floors.push(pressure.floor());
    }

    assert_eq!(closed, Some(1));
    assert_eq!(still_closed, Some(1));
    assert_eq!(floors, [Some(1), None]);
}

/// No node may refuse for a service of which some agent has room, or doesn't say.
#[test]
fn a_balancer_refuses_only_what_no_agent_has_room_for() {
    let crowded = roster(&[Some(1), Some(1), Some(1)]);
    let one_has_room = roster(&[Some(1), None, Some(1)]);
    let mut one_is_older = roster(&[Some(1), Some(1)]);
    let older = agent_heartbeat(1, "a", Stage::Ready, 0);
    let address = fixture::agent_address(9);
    one_is_older.record_heartbeat(fixture::NOW, address, &older).expect("the first");
    one_is_older.tick(fixture::NOW);

    assert!(is_refused(&crowded, 2));
    assert!(!is_refused(&crowded, 1));
    assert!(!is_refused(&one_has_room, 2));
    assert!(!is_refused(&one_is_older, 2));
}

/// While flows are placed by their number, nobody is refused at the door by what agents state.
#[test]
fn a_floor_counts_only_where_flows_are_placed_by_work() {
    let heartbeat = |sequence| Heartbeat {
        load: Some(Load { is_conditional: true, ..load(Some(1)) }),
        ..agent_heartbeat(sequence, "a", Stage::Ready, 0)
    };
    let mut roster = Roster::new();
    let address = fixture::agent_address(1);

    roster.record_heartbeat(fixture::NOW, address, &heartbeat(1)).expect("the first");
    roster.tick(fixture::NOW);

    assert!(!is_refused(&roster, 2));
}

/// Statements of agents that are no longer heard must not keep a door closed.
#[test]
fn stale_statements_open_the_door() {
    let mut crowded = roster(&[Some(1), Some(1)]);

    crowded.tick(fixture::NOW.after(3_000));

    assert!(!is_refused(&crowded, 2));
}
