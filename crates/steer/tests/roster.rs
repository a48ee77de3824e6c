//! Tests of the members that a node waits for.

mod fixture;

use fixture::{INCARNATION, NOW, agent_address, agent_heartbeat, roster};
use lentilreach_steer::process::roster::{Change, Role};
use lentilreach_steer::request::message::{Heartbeat, Stage};

/// The list in the store still names an agent for a moment after it has left. While others
/// waited for it, nobody could tell whether some agent holds a flow.
#[test]
fn an_agent_that_has_just_left_is_not_waited_for() {
    let mut roster = roster(NOW, 3, &["a"]);
    let address = agent_address(3);

    let was_known = roster.remove(address, INCARNATION);
    let is_added = roster.insert_unheard(NOW, address, Role::Agent, "a".into());

    assert!(was_known);
    assert!(!is_added);
    assert!(roster.hears_all());
    assert_eq!(roster.agents().count(), 2);
}

/// Once the departure is long ago, whoever is listed at the address is another process, which
/// may hold flows.
#[test]
fn a_successor_that_is_listed_later_is_waited_for() {
    let mut roster = roster(NOW, 3, &["a"]);
    let address = agent_address(3);
    roster.remove(address, INCARNATION);
    let later = NOW.after(6_000);
    roster.tick(later);

    let is_added = roster.insert_unheard(later, address, Role::Agent, "a".into());

    assert!(is_added);
    assert!(!roster.hears_all());
}

/// A process that takes the address over at once is a member as soon as it is heard, and a
/// delayed heartbeat of the one before is not.
#[test]
fn a_successor_is_a_member_when_it_is_heard() {
    let mut roster = roster(NOW, 3, &["a"]);
    let address = agent_address(3);
    roster.remove(address, INCARNATION);

    let delayed = agent_heartbeat(2, "a", Stage::Ready, 0);
    let delayed = roster.record_heartbeat(NOW, address, &delayed);
    let next = agent_heartbeat(1, "a", Stage::Ready, 0);
    let next = Heartbeat { incarnation: INCARNATION + 1, ..next };
    let next = roster.record_heartbeat(NOW, address, &next);

    assert!(delayed.is_err());
    assert_eq!(next, Ok(Change::Joined));
    assert_eq!(roster.agents().count(), 3);
}
