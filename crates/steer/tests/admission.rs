//! Tests of the order and the limits of waiting openings.

mod fixture;

use fixture::{NOW, flow};
use lentilreach::process::clock::Millis;
use lentilreach_steer::process::schedule::admission::{
    Admission, Capacity, MAX_OPENING_AGE_MS, Verdict,
};
use lentilreach_steer::process::schedule::queue::{Job, Kind};

/// An opening with a priority whose first copy was sent `age_ms` ago. Its request should
/// be answered within 200 ms.
fn opening(port: u16, priority: u8, age_ms: u64) -> Job {
    let sent_at = Millis(NOW.0 - age_ms);
    Job {
        flow: flow(port),
        kind: Kind::Opening,
        priority,
        sent_at,
        due_at: sent_at.after(200),
        give_up_at: sent_at.after(MAX_OPENING_AGE_MS),
    }
}

/// A backend server with five slots.
fn capacity(in_flight: u32) -> Capacity {
    Capacity { slots: 5, in_flight }
}

/// Lets openings wait. The value of each is its port.
fn waiting(openings: &[Job]) -> Admission<u16> {
    let mut admission = Admission::default();
    for opening in openings {
        admission.insert(NOW, *opening, opening.flow.caller.port());
    }
    admission
}

/// The ports of all waiting openings in the order in which they are served.
fn served(admission: &mut Admission<u16>) -> Vec<u16> {
    std::iter::from_fn(|| admission.next(NOW, capacity(0), None).map(|(_, port)| port))
        .collect()
}

/// Served in order of arrival, fresh openings would be late because of those that are late
/// already.
#[test]
fn late_openings_are_served_after_those_that_can_be_in_time() {
    let mut admission =
        waiting(&[opening(1, 2, 600), opening(2, 2, 0), opening(3, 1, 700)]);

    assert_eq!(served(&mut admission), [2, 1, 3]);
}

/// While more openings arrive than can be served, the earliest first would make each of
/// them just late.
#[test]
fn the_latest_opening_of_the_highest_priority_goes_first() {
    let mut admission =
        waiting(&[opening(1, 2, 0), opening(2, 1, 50), opening(3, 1, 20)]);

    assert_eq!(served(&mut admission), [3, 2, 1]);
}

/// A backend server must not get more than it runs, and a few whose requests are on their
/// way.
#[test]
fn openings_wait_while_the_backend_server_has_no_room() {
    let admission = Admission::<()>::default();
    let fresh = opening(1, 2, 0);
    let late = opening(1, 2, 600);

    let decide =
        |opening, in_flight| admission.decide(NOW, opening, capacity(in_flight), false);

    assert_eq!(decide(&fresh, 6), Verdict::Deliver);
    assert_eq!(decide(&fresh, 7), Verdict::Wait);
    assert_eq!(decide(&late, 5), Verdict::Deliver);
    assert_eq!(decide(&late, 6), Verdict::Wait);
}

/// An opening that would be late here may be in time elsewhere, and must not be held.
#[test]
fn an_opening_that_would_be_late_is_offered() {
    let many: Vec<_> = (10..40).map(|port| opening(port, 2, 0)).collect();
    let admission = waiting(&many);
    let fresh = opening(1, 2, 0);

    assert_eq!(admission.decide(NOW, &fresh, capacity(7), true), Verdict::Offer);
    assert_eq!(admission.decide(NOW, &fresh, capacity(7), false), Verdict::Wait);
    // Priority lets it pass all others.
    let urgent = opening(1, 0, 0);
    assert_eq!(admission.decide(NOW, &urgent, capacity(7), true), Verdict::Wait);
}

/// An opening that can't be served before its caller gives up must not wait for that.
#[test]
fn a_hopeless_opening_is_refused_at_once() {
    let many: Vec<_> = (10..300).map(|port| opening(port, 2, 600)).collect();
    let admission = waiting(&many);

    let verdict = admission.decide(NOW, &opening(1, 2, 200), capacity(7), false);

    assert_eq!(verdict, Verdict::Refuse);
}

/// Openings whose callers have given up must not be delivered.
#[test]
fn openings_expire_when_their_callers_give_up() {
    let mut admission = waiting(&[opening(1, 2, 600), opening(2, 2, 0)]);

    let expiry = admission.next_expiry().expect("openings wait");

    assert_eq!(expiry, NOW.after(MAX_OPENING_AGE_MS - 600 + 1));
    assert_eq!(admission.next_expired(Millis(expiry.0 - 1)), None);
    let (expired, _) = admission.next_expired(expiry).expect("an opening has expired");
    assert_eq!(expired.flow, flow(1));
    assert_eq!(admission.next_expired(expiry), None);
}

/// With a slow backend server, fewer waiting openings can be in time.
#[test]
fn observed_durations_decide_what_can_be_in_time() {
    let some: Vec<_> = (10..14).map(|port| opening(port, 2, 0)).collect();
    let mut admission = waiting(&some);
    let fresh = opening(1, 2, 0);
    assert_eq!(admission.decide(NOW, &fresh, capacity(7), true), Verdict::Wait);

    for _ in 0..50 {
        admission.observe(100);
    }

    assert_eq!(admission.decide(NOW, &fresh, capacity(7), true), Verdict::Offer);
}
