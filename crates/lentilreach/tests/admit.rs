//! Tests the admission of requests and the detection of cold backend servers.

use lentilreach::process::clock::Millis;
use lentilreach::process::warmup::{
    Concurrency, Detector, MEDIAN_WINDOW, SLOW_SIGNALS_TO_COLD,
};
use lentilreach::request::admit::{
    Action, Admission, End, Limiter, Limits, Reason, RequestId,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LIMITS: Limits = Limits { slots: 5, cold_slots: 1, cold_ms: 1_000, queue: 10 };

/// Response time of a warm backend server, in milliseconds.
const WARM_MS: u64 = 20;

const NO_DEADLINE: Millis = Millis(u64::MAX);

/// Returns an idle limiter with a known warm median, and the time.
fn warm_limiter() -> (Limiter, Millis) {
    let mut limiter = Limiter::new(LIMITS, Millis(0));
    let mut now = Millis(LIMITS.cold_ms);
    for request_id in 0..8 {
        assert_eq!(
            limiter.admit(now, RequestId(request_id), NO_DEADLINE),
            Admission::Run
        );
        now = now.after(WARM_MS);
        limiter.finish(now, RequestId(request_id), End::Answered { took_ms: WARM_MS });
    }
    (limiter, now)
}

/// Returns a limiter with all slots busy and a queue, the time, and the running requests.
fn busy_limiter() -> (Limiter, Millis, Vec<RequestId>) {
    let (mut limiter, mut now) = warm_limiter();
    for request_id in 90..100 {
        limiter.admit(now, RequestId(request_id), NO_DEADLINE);
    }
    let mut running = vec![RequestId(90)];
    for request_id in 100.. {
        if limiter.busy() == LIMITS.slots {
            break;
        }
        let done = running.remove(0);
        now = now.after(WARM_MS);
        running.extend(started(&limiter.finish(
            now,
            done,
            End::Answered { took_ms: WARM_MS },
        )));
        limiter.admit(now, RequestId(request_id), NO_DEADLINE);
    }
    (limiter, now, running)
}

fn started(actions: &[Action]) -> Vec<RequestId> {
    let started = actions.iter().filter_map(|action| match action {
        Action::Run(request_id) => Some(*request_id),
        Action::Refuse { .. } => None,
    });
    started.collect()
}

fn warm_detector() -> (Detector, Millis) {
    let ramp = Concurrency { slots: 5, cold_slots: 1, cold_ms: 1_000 };
    let mut detector = Detector::new(ramp, Millis(0));
    let mut now = Millis(1_000);
    for busy in [1; 12].into_iter().chain(2..5) {
        let started = now;
        now = now.after(WARM_MS);
        detector.record_response(now, started, WARM_MS, busy);
    }
    assert_eq!(detector.limit(now), 5);
    (detector, now)
}

/// Guards against exceeding the cold limit during the cold start after the agent starts.
#[test]
fn limiter_starts_cold() {
    let mut limiter = Limiter::new(LIMITS, Millis(0));

    assert_eq!(limiter.admit(Millis(0), RequestId(1), NO_DEADLINE), Admission::Run);
    assert_eq!(limiter.admit(Millis(0), RequestId(2), NO_DEADLINE), Admission::Wait);
    let actions = limiter.finish(Millis(5), RequestId(1), End::Answered { took_ms: 5 });

    assert_eq!(started(&actions), [RequestId(2)]);
    assert!(limiter.is_cold(Millis(999)) && !limiter.is_cold(Millis(1_000)));
    assert_eq!(limiter.limit(Millis(999)), 1);
}

/// Guards against a burst after an idle period that hits a backend server that has become cold
/// without notice.
#[test]
fn limit_is_cold_after_idle_period() {
    let (mut limiter, now) = warm_limiter();
    let now = now.after(60_000);

    let arrivals: Vec<_> =
        (10..15).map(|t| limiter.admit(now, RequestId(t), NO_DEADLINE)).collect();

    assert_eq!(arrivals[0], Admission::Run);
    assert!(arrivals[1..].iter().all(|arrival| *arrival == Admission::Wait));
}

/// Guards against a limiter that never uses all slots of a warm backend server.
#[test]
fn warm_backend_server_gets_all_slots() {
    let (limiter, now, _) = busy_limiter();

    assert_eq!((limiter.busy(), limiter.limit(now)), (5, 5));
}

/// Guards against new work after any sign that the backend server is cold, until `cold_ms`
/// have passed.
#[test]
fn cold_period_holds_cold_limit() {
    type Trigger = fn(&mut Limiter, Millis, RequestId) -> Vec<Action>;
    let triggers: [(&str, Trigger); 4] = [
        ("closed", |limiter, now, _| limiter.connections_closed(now)),
        ("failed", |limiter, now, request_id| {
            limiter.finish(now, request_id, End::Failed)
        }),
        ("refused", |limiter, now, request_id| {
            limiter.finish(now, request_id, End::Refused)
        }),
        ("health", |limiter, now, _| limiter.record_health(now, true)),
    ];
    for (name, trigger) in triggers {
        let (mut limiter, now, running) = busy_limiter();

        let actions = trigger(&mut limiter, now, running[0]);

        assert!(started(&actions).is_empty(), "{name}");
        assert_eq!(limiter.limit(now.after(999)), 1, "{name}");
        assert!(
            limiter.is_cold(now.after(999)) && !limiter.is_cold(now.after(1_000)),
            "{name}"
        );
    }
}

/// Guards against a healthy report that ends the cold period of a backend server.
#[test]
fn healthy_report_does_not_end_cold_period() {
    let mut limiter = Limiter::new(LIMITS, Millis(0));

    limiter.record_health(Millis(10), false);

    assert!(limiter.is_cold(Millis(999)));
    assert_eq!(limiter.limit(Millis(999)), 1);
}

/// Guards against requests that stay queued after their deadline or once they can no longer
/// run.
#[test]
fn waiting_requests_are_refused_at_deadline() {
    let mut limiter = Limiter::new(LIMITS, Millis(0));
    limiter.admit(Millis(0), RequestId(1), NO_DEADLINE);
    assert_eq!(limiter.admit(Millis(0), RequestId(2), Millis(50)), Admission::Wait);
    assert_eq!(limiter.admit(Millis(0), RequestId(3), NO_DEADLINE), Admission::Wait);
    let full = limiter.admit(Millis(0), RequestId(4), NO_DEADLINE);
    let late = limiter.admit(Millis(60), RequestId(5), Millis(60));

    let retry_after_ms = 1_000;
    assert_eq!(full, Admission::Refuse { retry_after_ms, reason: Reason::Cold });
    assert!(matches!(late, Admission::Refuse { reason: Reason::Late, .. }));
    let [Action::Refuse { request_id: RequestId(2), reason: Reason::Late, .. }] =
        limiter.tick(Millis(50))[..]
    else {
        panic!("the deadline has passed");
    };
    limiter.set_draining(true);
    let [
        Action::Refuse {
            request_id: RequestId(3),
            retry_after_ms: 0,
            reason: Reason::Draining,
        },
    ] = limiter.tick(Millis(51))[..]
    else {
        panic!("a draining backend server gets no new work");
    };
    let draining = limiter.admit(Millis(52), RequestId(6), NO_DEADLINE);
    assert_eq!(
        draining,
        Admission::Refuse { retry_after_ms: 0, reason: Reason::Draining }
    );
}

/// Guards against a cancelled request that keeps its slot or queue entry.
#[test]
fn cancelled_request_frees_its_slot() {
    let mut limiter = Limiter::new(LIMITS, Millis(0));
    for request_id in 1..4 {
        limiter.admit(Millis(0), RequestId(request_id), NO_DEADLINE);
    }

    assert!(limiter.cancel(Millis(1), RequestId(2)).is_empty());
    assert_eq!(started(&limiter.cancel(Millis(1), RequestId(1))), [RequestId(3)]);
    assert!(
        limiter.finish(Millis(1), RequestId(1), End::Failed).is_empty(),
        "already gone"
    );
    assert_eq!((limiter.busy(), limiter.waiting()), (1, 0));
}

/// Guards against a running request that exceeds the slow threshold without lowering the
/// limit.
#[test]
fn overdue_request_lowers_limit() {
    let (mut limiter, now, _) = busy_limiter();

    limiter.tick(now.after(3 * WARM_MS + 1));

    assert_eq!(limiter.limit(now.after(3 * WARM_MS + 1)), 1);
    assert!(!limiter.is_cold(now.after(3 * WARM_MS + 1)), "one cause is one signal");
}

/// Guards against responses to requests from before a slow signal counting as evidence after
/// it.
#[test]
fn only_later_requests_clear_slow_signal() {
    let (mut detector, now) = warm_detector();
    let started = now;
    detector.record_slow(now.after(10), now);
    let now = now.after(WARM_MS);

    assert!(!(0..5).any(|_| detector.record_response(now, started, WARM_MS, 5)));
    assert_eq!(detector.limit(now), 1);
    let later = now.after(WARM_MS);
    assert!(!detector.record_response(later, now, WARM_MS, 1));
    assert!(detector.record_response(later, now, WARM_MS, 1));
    assert_eq!(detector.limit(later), 2);
}

/// Guards against missing a cold backend server that only responds slowly.
#[test]
fn repeated_slow_responses_start_cold_period() {
    let (mut detector, mut now) = warm_detector();

    for signal in 1..=SLOW_SIGNALS_TO_COLD {
        assert!(!detector.is_cold(now), "signal {signal}");
        let started = now.after(1);
        now = now.after(100);
        assert!(!detector.record_response(now, started, 3 * WARM_MS + 1, 1));
    }

    assert_eq!(detector.cold_remaining_ms(now), 1_000);
}

/// Guards against a slower release that stays at the cold limit forever.
#[test]
fn lasting_slowdown_becomes_median() {
    let (mut detector, mut now) = warm_detector();

    let fast = (0..MEDIAN_WINDOW * 3).any(|_| {
        now = now.after(detector.cold_remaining_ms(now) + 1);
        let started = now;
        now = now.after(200);
        detector.record_response(now, started, 200, 1)
    });

    assert!(fast);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::with_cases(512)
    })]

    /// Guards against any order of events that starts a request above the limit, starts one
    /// above the cold limit without a fast response in the same step, or loses or duplicates a
    /// request.
    #[test]
    fn any_event_order_keeps_limits(events in proptest::collection::vec(
        (0_u8..12, 0_usize..8, 0_u64..120), 1..300,
    )) {
        let (mut limiter, mut now) = warm_limiter();
        let (mut running, mut waiting) = (Vec::<(RequestId, Millis)>::new(), Vec::new());
        for (next, (event, pick, wait)) in (1_000..).zip(events) {
            let mut has_evidence = false;
            let mut actions = Vec::new();
            let picked = (!running.is_empty()).then(|| running[pick % running.len()]);
            match (event, picked) {
                (0..5, _) => match limiter.admit(now, RequestId(next), now.after(wait * 9)) {
                    Admission::Run => {
                        running.push((RequestId(next), now));
                        prop_assert!(running.len() <= 1, "above the cold limit");
                    }
                    Admission::Wait => waiting.push(RequestId(next)),
                    Admission::Refuse { .. } => {}
                },
                (5..9, Some((request_id, started))) => {
                    running.retain(|(other, _)| *other != request_id);
                    let took_ms = now.since(started);
                    actions = limiter.finish(now, request_id, End::Answered { took_ms });
                    has_evidence = took_ms <= 3 * 120;
                }
                (9, Some((request_id, _))) if pick == 0 => {
                    running.retain(|(other, _)| *other != request_id);
                    actions = limiter.finish(now, request_id, End::Failed);
                }
                (10, Some((request_id, _))) => {
                    running.retain(|(other, _)| *other != request_id);
                    actions = limiter.cancel(now, request_id);
                }
                _ => {
                    now = now.after(wait);
                    actions = limiter.tick(now);
                }
            }
            for action in actions {
                let (Action::Run(request_id) | Action::Refuse { request_id, .. }) = action;
                let index = waiting.iter().position(|other| *other == request_id);
                prop_assert!(index.is_some(), "did not wait");
                waiting.remove(index.unwrap_or_default());
                if action == Action::Run(request_id) {
                    running.push((request_id, now));
                    let limit = if has_evidence { limiter.limit(now) } else { 1 };
                    prop_assert!(running.len() <= usize::from(limit));
                }
            }
            prop_assert_eq!(usize::from(limiter.busy()), running.len());
            prop_assert_eq!(usize::from(limiter.waiting()), waiting.len());
        }
    }

    /// Guards against exceeding the cold limit when a backend server becomes cold between two
    /// requests without closing a connection, after any load and any idle time.
    #[test]
    fn cold_between_requests_does_not_overrun(
        gap in 0_u64..500, burst in 1_u64..10,
    ) {
        let (mut limiter, mut now, mut running) = busy_limiter();
        while let Some(request_id) = running.pop() {
            now = now.after(1);
            let end = End::Answered { took_ms: WARM_MS };
            running.extend(started(&limiter.finish(now, request_id, end)));
        }
        prop_assert_eq!((limiter.busy(), limiter.waiting()), (0, 0));
        now = now.after(gap);

        // The backend server is now cold: every response takes ten times as long.
        let mut busy: Vec<RequestId> = Vec::new();
        for request_id in 500..500 + burst {
            if limiter.admit(now, RequestId(request_id), NO_DEADLINE) == Admission::Run {
                busy.push(RequestId(request_id));
            }
        }
        while let Some(request_id) = busy.pop() {
            prop_assert!(busy.is_empty(), "more than one at once");
            now = now.after(10 * WARM_MS);
            limiter.tick(now);
            let end = End::Answered { took_ms: 10 * WARM_MS };
            busy.extend(started(&limiter.finish(now, request_id, end)));
        }
    }
}
