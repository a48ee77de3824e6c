//! Tests of what counts as given to a backend server and not finished.

mod fixture;

use fixture::{NOW, flow};
use lentilreach_steer::connection::in_flight::{Answer, InFlight};

/// Number of slots of the backend server.
const SLOTS: u32 = 2;

/// A request counts from its opening until the answer begins.
#[test]
fn an_opening_counts_until_its_request_is_answered() {
    let mut in_flight = InFlight::default();

    in_flight.open(NOW, flow(1));
    assert_eq!((in_flight.count(NOW), in_flight.requests(NOW)), (1, 0));

    in_flight.request(NOW.after(10), flow(1), SLOTS);
    in_flight.request(NOW.after(12), flow(1), SLOTS);
    assert_eq!((in_flight.count(NOW), in_flight.requests(NOW)), (1, 1));

    let answer = in_flight.answer(NOW.after(40), &flow(1));
    assert_eq!(answer, Some(Answer { ms: 30, slot_ms: Some(30), is_queued: false }));
    assert_eq!(in_flight.count(NOW), 0);
    assert_eq!(in_flight.answer(NOW.after(41), &flow(1)), None);
}

/// Requests that wait in the backend server's own queue would make it seem slower than it
/// is.
#[test]
fn the_time_in_a_slot_leaves_out_the_wait_in_the_queue() {
    let mut in_flight = InFlight::default();
    for port in 1..=4 {
        in_flight.request(NOW, flow(port), SLOTS);
    }

    let slot_ms = [(1, 10), (2, 20), (3, 35), (4, 50)].map(|(port, ms)| {
        in_flight.answer(NOW.after(ms), &flow(port)).and_then(|answer| answer.slot_ms)
    });

    // The third request got the slot of the first, and the fourth that of the second.
    assert_eq!(slot_ms, [Some(10), Some(20), Some(25), Some(30)]);
}

/// Requests without an answer must not keep others away for ever: the backend server may
/// have forgotten them.
#[test]
fn overdue_requests_take_no_slot() {
    let mut in_flight = InFlight::default();
    in_flight.request(NOW, flow(1), SLOTS);
    in_flight.request(NOW.after(400), flow(2), SLOTS);

    assert_eq!(in_flight.mark_overdue(NOW.after(500), 500), 0);
    assert_eq!(in_flight.mark_overdue(NOW.after(501), 500), 1);
    assert_eq!(in_flight.mark_overdue(NOW.after(600), 500), 0);

    let later = NOW.after(600);
    assert_eq!((in_flight.count(later), in_flight.requests(later)), (1, 2));
}

/// An opening whose caller has given up must not occupy a slot for long: it is idle
/// meanwhile.
#[test]
fn an_opening_without_a_request_counts_for_a_short_time() {
    let mut in_flight = InFlight::default();
    in_flight.open(NOW, flow(1));
    assert_eq!(in_flight.count(NOW.after(299)), 1);
    assert_eq!(in_flight.count(NOW.after(300)), 0);

    // Callers usually send their request 10 ms later.
    for port in 2..=100 {
        in_flight.open(NOW, flow(port));
        in_flight.request(NOW.after(10), flow(port), SLOTS);
        in_flight.remove(&flow(port));
    }
    in_flight.open(NOW, flow(1));
    assert_eq!(in_flight.count(NOW.after(30)), 1);
    assert_eq!(in_flight.count(NOW.after(50)), 0);
}
