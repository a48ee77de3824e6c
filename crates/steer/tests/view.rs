//! Tests of the comparison of sets of agents.

mod fixture;

use fixture::{INCARNATION, agent_address};
use lentilreach_steer::process::roster::view::{Element, View, hash};

/// Some agents.
fn agents(numbers: &[u8]) -> impl Iterator<Item = Element> {
    numbers.iter().map(|number| (agent_address(*number), INCARNATION))
}

/// A node that hears agents 1 to 5, of which 5 joined recently, and knows that 6 and 7 may
/// still be heard by others.
fn view() -> View {
    View::new(agents(&[1, 2, 3, 4, 5]), agents(&[6, 7]), agents(&[5]))
}

/// Nodes that noticed changes of the membership in another order must understand each
/// other. Otherwise callers of ended flows wait while members come and go.
#[test]
fn sets_of_known_agents_are_recognised() {
    for set in [
        &[1, 2, 3, 4, 5][..],
        &[4, 3, 2, 1],
        &[1, 2, 3, 4, 6],
        &[1, 2, 3, 4, 7],
        &[1, 2, 3, 4, 5, 6, 7],
    ] {
        assert!(view().contains(hash(agents(set))), "{set:?}");
    }
}

/// An agent that is unknown here may hold any flow, whatever the number of agents is.
#[test]
fn sets_with_an_unknown_agent_are_not_recognised() {
    for set in [&[1, 2, 3, 4, 8][..], &[1, 2, 3, 4, 5, 8], &[1, 2, 3, 4, 6, 7, 8]] {
        assert!(!view().contains(hash(agents(set))), "{set:?}");
    }
}

/// A node that doesn't hear an agent for which there is no reason may be cut off.
#[test]
fn sets_without_an_agent_that_is_heard_are_not_recognised() {
    assert!(!view().contains(hash(agents(&[1, 2, 3, 5]))));
}

/// More changes than can be compared must not be mistaken for known sets.
#[test]
fn only_the_own_set_is_recognised_among_many_changes() {
    let all: Vec<u8> = (1..=40).collect();
    let view = View::new(agents(&all), agents(&[]), agents(&all[20..]));

    assert!(view.contains(hash(agents(&all))));
    assert!(!view.contains(hash(agents(&all[..20]))));
}
