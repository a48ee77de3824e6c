//! Admission of requests and cold detection.

use lentilreach::process::clock::Millis;
use lentilreach::process::warmth::{Ramp, STRIKES, WINDOW, Warmth};
use lentilreach::request::admit::{Action, Arrival, End, Gate, Limits, Ticket, Why};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LIMITS: Limits = Limits { slots: 5, cold_slots: 1, cold_ms: 1_000, queue: 10 };

/// A backend server that is warm answers in this time, in milliseconds.
const WARM_MS: u64 = 20;

const LATE: Millis = Millis(u64::MAX);

/// A gate that knows the warm median, idle, and the time.
fn warm_gate() -> (Gate, Millis) {
    let mut gate = Gate::new(LIMITS, Millis(0));
    let mut now = Millis(LIMITS.cold_ms);
    for ticket in 0..8 {
        assert_eq!(gate.arrive(now, Ticket(ticket), LATE), Arrival::Run);
        now = now.after(WARM_MS);
        gate.finish(now, Ticket(ticket), End::Answered { took_ms: WARM_MS });
    }
    (gate, now)
}

/// A gate with all slots busy and requests waiting, the time, and what runs.
fn busy_gate() -> (Gate, Millis, Vec<Ticket>) {
    let (mut gate, mut now) = warm_gate();
    for ticket in 90..100 {
        gate.arrive(now, Ticket(ticket), LATE);
    }
    let mut running = vec![Ticket(90)];
    for ticket in 100.. {
        if gate.busy() == LIMITS.slots {
            break;
        }
        let done = running.remove(0);
        now = now.after(WARM_MS);
        running.extend(started(&gate.finish(
            now,
            done,
            End::Answered { took_ms: WARM_MS },
        )));
        gate.arrive(now, Ticket(ticket), LATE);
    }
    (gate, now, running)
}

fn started(actions: &[Action]) -> Vec<Ticket> {
    let started = actions.iter().filter_map(|action| match action {
        Action::Run(ticket) => Some(*ticket),
        Action::Refuse { .. } => None,
    });
    started.collect()
}

fn warm() -> (Warmth, Millis) {
    let ramp = Ramp { slots: 5, cold_slots: 1, cold_ms: 1_000 };
    let mut warmth = Warmth::new(ramp, Millis(0));
    let mut now = Millis(1_000);
    for busy in [1; 12].into_iter().chain(2..5) {
        let started = now;
        now = now.after(WARM_MS);
        warmth.answered(now, started, WARM_MS, busy);
    }
    assert_eq!(warmth.limit(now), 5);
    (warmth, now)
}

/// Guards against more than the cold limit in the cold start of the agent.
#[test]
fn a_gate_starts_cold() {
    let mut gate = Gate::new(LIMITS, Millis(0));

    assert_eq!(gate.arrive(Millis(0), Ticket(1), LATE), Arrival::Run);
    assert_eq!(gate.arrive(Millis(0), Ticket(2), LATE), Arrival::Wait);
    let actions = gate.finish(Millis(5), Ticket(1), End::Answered { took_ms: 5 });

    assert_eq!(started(&actions), [Ticket(2)]);
    assert!(gate.is_cold(Millis(999)) && !gate.is_cold(Millis(1_000)));
    assert_eq!(gate.limit(Millis(999)), 1);
}

/// Guards against a burst after an idle gap that meets a backend server gone cold unnoticed.
#[test]
fn an_idle_gap_starts_at_the_cold_limit() {
    let (mut gate, now) = warm_gate();
    let now = now.after(60_000);

    let arrivals: Vec<_> = (10..15).map(|t| gate.arrive(now, Ticket(t), LATE)).collect();

    assert_eq!(arrivals[0], Arrival::Run);
    assert!(arrivals[1..].iter().all(|arrival| *arrival == Arrival::Wait));
}

/// Guards against a gate that never uses all slots of a warm backend server.
#[test]
fn a_warm_backend_server_gets_all_slots() {
    let (gate, now, _) = busy_gate();

    assert_eq!((gate.busy(), gate.limit(now)), (5, 5));
}

/// Guards against new work after any sign of a cold turn, until `cold_ms` have passed.
#[test]
fn a_cold_turn_holds_the_cold_limit() {
    type Turn = fn(&mut Gate, Millis, Ticket) -> Vec<Action>;
    let turns: [(&str, Turn); 4] = [
        ("closed", |gate, now, _| gate.closed(now)),
        ("failed", |gate, now, ticket| gate.finish(now, ticket, End::Failed)),
        ("refused", |gate, now, ticket| gate.finish(now, ticket, End::Refused)),
        ("health", |gate, now, _| gate.health(now, true)),
    ];
    for (name, turn) in turns {
        let (mut gate, now, running) = busy_gate();

        let actions = turn(&mut gate, now, running[0]);

        assert!(started(&actions).is_empty(), "{name}");
        assert_eq!(gate.limit(now.after(999)), 1, "{name}");
        assert!(
            gate.is_cold(now.after(999)) && !gate.is_cold(now.after(1_000)),
            "{name}"
        );
    }
}

/// Guards against a health endpoint whose word makes a cold backend server warm.
#[test]
fn health_never_warms() {
    let mut gate = Gate::new(LIMITS, Millis(0));

    gate.health(Millis(10), false);

    assert!(gate.is_cold(Millis(999)));
    assert_eq!(gate.limit(Millis(999)), 1);
}

/// Guards against a queue that holds requests beyond their deadline or their chance.
#[test]
fn waiting_requests_are_refused_in_time() {
    let mut gate = Gate::new(LIMITS, Millis(0));
    gate.arrive(Millis(0), Ticket(1), LATE);
    assert_eq!(gate.arrive(Millis(0), Ticket(2), Millis(50)), Arrival::Wait);
    assert_eq!(gate.arrive(Millis(0), Ticket(3), LATE), Arrival::Wait);
    let full = gate.arrive(Millis(0), Ticket(4), LATE);
    let late = gate.arrive(Millis(60), Ticket(5), Millis(60));

    let retry_after_ms = 1_000;
    assert_eq!(full, Arrival::Refuse { retry_after_ms, why: Why::Cold });
    assert!(matches!(late, Arrival::Refuse { why: Why::Late, .. }));
    let [Action::Refuse { ticket: Ticket(2), why: Why::Late, .. }] =
        gate.tick(Millis(50))[..]
    else {
        panic!("the deadline has passed");
    };
    gate.set_draining(true);
    let [Action::Refuse { ticket: Ticket(3), retry_after_ms: 0, why: Why::Draining }] =
        gate.tick(Millis(51))[..]
    else {
        panic!("a draining backend server gets no new work");
    };
    let draining = gate.arrive(Millis(52), Ticket(6), LATE);
    assert_eq!(draining, Arrival::Refuse { retry_after_ms: 0, why: Why::Draining });
}

/// Guards against slots or places in the queue that a cancelled request keeps.
#[test]
fn a_cancelled_request_frees_its_place() {
    let mut gate = Gate::new(LIMITS, Millis(0));
    for ticket in 1..4 {
        gate.arrive(Millis(0), Ticket(ticket), LATE);
    }

    assert!(gate.cancel(Millis(1), Ticket(2)).is_empty());
    assert_eq!(started(&gate.cancel(Millis(1), Ticket(1))), [Ticket(3)]);
    assert!(gate.finish(Millis(1), Ticket(1), End::Failed).is_empty(), "already gone");
    assert_eq!((gate.busy(), gate.waiting()), (1, 0));
}

/// Guards against a running request over the patience that goes unnoticed.
#[test]
fn an_overdue_request_drops_the_limit() {
    let (mut gate, now, _) = busy_gate();

    gate.tick(now.after(3 * WARM_MS + 1));

    assert_eq!(gate.limit(now.after(3 * WARM_MS + 1)), 1);
    assert!(!gate.is_cold(now.after(3 * WARM_MS + 1)), "one cause is one sign");
}

/// Guards against proof from requests that began before the sign that it would clear.
#[test]
fn only_answers_begun_after_a_sign_clear_it() {
    let (mut warmth, now) = warm();
    let begun = now;
    warmth.slow(now.after(10), now);
    let now = now.after(WARM_MS);

    assert!(!(0..5).any(|_| warmth.answered(now, begun, WARM_MS, 5)));
    assert_eq!(warmth.limit(now), 1);
    let later = now.after(WARM_MS);
    assert!(!warmth.answered(later, now, WARM_MS, 1));
    assert!(warmth.answered(later, now, WARM_MS, 1));
    assert_eq!(warmth.limit(later), 2);
}

/// Guards against a cold turn that shows in slow answers only.
#[test]
fn repeated_slow_answers_are_a_cold_turn() {
    let (mut warmth, mut now) = warm();

    for strike in 1..=STRIKES {
        assert!(!warmth.is_cold(now), "strike {strike}");
        let started = now.after(1);
        now = now.after(100);
        assert!(!warmth.answered(now, started, 3 * WARM_MS + 1, 1));
    }

    assert_eq!(warmth.cold_for(now), 1_000);
}

/// Guards against a slower release that stays at the cold limit for ever.
#[test]
fn a_lasting_slowdown_becomes_the_median() {
    let (mut warmth, mut now) = warm();

    let fast = (0..WINDOW * 3).any(|_| {
        now = now.after(warmth.cold_for(now) + 1);
        let started = now;
        now = now.after(200);
        warmth.answered(now, started, 200, 1)
    });

    assert!(fast);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::with_cases(512)
    })]

    /// Guards against any order of events that starts a request above the limit, or above the
    /// cold limit without a fast answer in the same step, or loses or doubles a request.
    #[test]
    fn any_order_keeps_the_limits(events in proptest::collection::vec(
        (0_u8..12, 0_usize..8, 0_u64..120), 1..300,
    )) {
        let (mut gate, mut now) = warm_gate();
        let (mut running, mut waiting) = (Vec::<(Ticket, Millis)>::new(), Vec::new());
        for (next, (event, pick, wait)) in (1_000..).zip(events) {
            let mut proof = false;
            let mut actions = Vec::new();
            let picked = (!running.is_empty()).then(|| running[pick % running.len()]);
            match (event, picked) {
                (0..5, _) => match gate.arrive(now, Ticket(next), now.after(wait * 9)) {
                    Arrival::Run => {
                        running.push((Ticket(next), now));
                        prop_assert!(running.len() <= 1, "above the cold limit");
                    }
                    Arrival::Wait => waiting.push(Ticket(next)),
                    Arrival::Refuse { .. } => {}
                },
                (5..9, Some((ticket, started))) => {
                    running.retain(|(other, _)| *other != ticket);
                    let took_ms = now.since(started);
                    actions = gate.finish(now, ticket, End::Answered { took_ms });
                    proof = took_ms <= 3 * 120;
                }
                (9, Some((ticket, _))) if pick == 0 => {
                    running.retain(|(other, _)| *other != ticket);
                    actions = gate.finish(now, ticket, End::Failed);
                }
                (10, Some((ticket, _))) => {
                    running.retain(|(other, _)| *other != ticket);
                    actions = gate.cancel(now, ticket);
                }
                _ => {
                    now = now.after(wait);
                    actions = gate.tick(now);
                }
            }
            for action in actions {
                let (Action::Run(ticket) | Action::Refuse { ticket, .. }) = action;
                let place = waiting.iter().position(|other| *other == ticket);
                prop_assert!(place.is_some(), "did not wait");
                waiting.remove(place.unwrap_or_default());
                if action == Action::Run(ticket) {
                    running.push((ticket, now));
                    let most = if proof { gate.limit(now) } else { 1 };
                    prop_assert!(running.len() <= usize::from(most));
                }
            }
            prop_assert_eq!(usize::from(gate.busy()), running.len());
            prop_assert_eq!(usize::from(gate.waiting()), waiting.len());
        }
    }

    /// Guards against a cold overrun when a backend server turns cold between two requests
    /// without closing a connection, after any load and any gap.
    #[test]
    fn a_turn_between_two_requests_is_no_overrun(
        gap in 0_u64..500, burst in 1_u64..10,
    ) {
        let (mut gate, mut now, mut running) = busy_gate();
        while let Some(ticket) = running.pop() {
            now = now.after(1);
            let end = End::Answered { took_ms: WARM_MS };
            running.extend(started(&gate.finish(now, ticket, end)));
        }
        prop_assert_eq!((gate.busy(), gate.waiting()), (0, 0));
        now = now.after(gap);

        // Cold: every answer takes ten times as long.
        let mut busy: Vec<Ticket> = Vec::new();
        for ticket in 500..500 + burst {
            if gate.arrive(now, Ticket(ticket), LATE) == Arrival::Run {
                busy.push(Ticket(ticket));
            }
        }
        while let Some(ticket) = busy.pop() {
            prop_assert!(busy.is_empty(), "more than one at once");
            now = now.after(10 * WARM_MS);
            gate.tick(now);
            let end = End::Answered { took_ms: 10 * WARM_MS };
            busy.extend(started(&gate.finish(now, ticket, end)));
        }
    }
}
