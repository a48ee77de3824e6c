//! Tests of segments that have waited in the sockets of a paused process.

mod fixture;

use fixture::{NOW, agent_and_roster, arrival, flow, opening, routing};
use lentilreach_steer::process::agent::{Action, Cause};
use lentilreach_steer::process::backend::Refusal;
use lentilreach_steer::process::pause::Pause;
use lentilreach_steer::request::message::Search;

/// Segments that waited must be recognised whether they are read before or after the first
/// tick, and later ones must not count as delayed.
#[test]
fn segments_read_after_a_pause_are_delayed() {
    let mut pause = Pause::new(NOW, 1_000);
    pause.tick(NOW.after(1_020));
    assert_eq!(pause.delay_ms(NOW.after(2_300)), 0);

    let woken = NOW.after(5_520);
    assert_eq!(pause.delay_ms(woken), 3_500);
    pause.tick(woken);
    assert_eq!(pause.delay_ms(woken.after(100)), 3_500);
    assert_eq!(pause.delay_ms(woken.after(200)), 0);
}

/// The callers of openings that waited for seconds have given up. Delivered, they would
/// take slots from others.
#[test]
fn openings_of_callers_that_have_given_up_are_not_delivered() {
    let (mut agent, roster) = agent_and_roster();
    let mut delayed = arrival(opening(flow(1), 0), Search::Open, 1);
    delayed.forwarding.delay_ms = 3_500;

    let action = agent.handle_caller_segment(NOW, &routing(1), &roster, &delayed);

    assert!(
        matches!(
            action,
            Action::Refuse { cause: Cause::Admission(Refusal::Expired), .. }
        ),
        "{action:?}"
    );
}
