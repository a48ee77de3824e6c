//! Tests of the limits on what a backend server receives.

mod fixture;

use fixture::{COLD_LIMIT, REPORT_MS, bounds, report};
use lentilreach::process::clock::Millis;
use lentilreach_steer::process::backend::{Backend, Change, Refusal, Report};
use lentilreach_steer::request::message::Stage;

const NOW: Millis = Millis(50_000);

/// Creates a backend server that has reported.
fn backend(report: Report) -> Backend {
    let mut backend = Backend::new(Millis(0), bounds());
    backend.record_report(NOW, report);
    backend
}

/// Gives a backend server an opening that is only subject to the rate limit of a cold one.
fn admit(backend: &mut Backend, at: Millis) -> Result<(), Refusal> {
    backend.check(at, 0, u32::MAX)?;
    if backend.opening_at(at, 0, Some(0.0)).is_none_or(|free_at| free_at > at) {
        return Err(Refusal::Cold);
    }
    backend.record_opening(at);
    Ok(())
}

/// The times from which openings may be delivered that wait behind each other.
fn waiting(backend: &mut Backend, now: Millis, openings: usize) -> Vec<Option<Millis>> {
    (0..openings).map(|ahead| backend.opening_at(now, ahead, Some(0.0))).collect()
}

/// A cold backend server must not exceed its limit in any interval of one second.
#[test]
fn a_cold_backend_server_gets_its_limit_in_any_second() {
    let mut backend = backend(Report { cold_ms: 20_000, ..report(1) });
    let tries = (0..10_000).step_by(7).map(|ms| NOW.after(ms));

    // Without further reports, its stage would become closed.
    let mut sequence = 1;
    let mut admitted = Vec::new();
    for at in tries {
        if at.since(NOW) / REPORT_MS >= sequence {
            sequence += 1;
            backend.record_report(at, Report { cold_ms: 20_000, ..report(sequence) });
        }
        if admit(&mut backend, at).is_ok() {
            admitted.push(at);
        }
    }

    let in_second = |start: &Millis| {
        admitted.iter().filter(|at| **at >= *start && at.since(*start) < 1_000).count()
    };
    assert!(admitted.iter().all(|start| in_second(start) <= COLD_LIMIT));
    assert!(admitted.len() >= 9 * COLD_LIMIT * 8 / 10, "{} admitted", admitted.len());
}

/// Openings must wait rather than be refused if possible, and those that wait must not
/// exceed the limit either.
#[test]
fn openings_wait_within_the_limit() {
    let mut backend = backend(Report { cold_ms: 3_000, ..report(1) });
    for _ in 0..COLD_LIMIT {
        admit(&mut backend, NOW).expect("within the limit");
    }
    assert_eq!(admit(&mut backend, NOW), Err(Refusal::Cold));

    let times = waiting(&mut backend, NOW.after(500), COLD_LIMIT + 3);

    let (within, beyond) = times.split_at(COLD_LIMIT);
    let in_next_window = |at: &Option<Millis>| {
        at.is_some_and(|at| (1_000..1_400).contains(&at.since(NOW)))
    };
    assert!(within.iter().all(in_next_window), "{within:?}");
    assert!(beyond.iter().all(|at| *at == Some(NOW.after(3_000))), "{beyond:?}");
}

/// Openings must not wait for longer than the backend server is cold.
#[test]
fn openings_wait_no_longer_than_the_backend_server_is_cold() {
    let mut backend = backend(Report { cold_ms: 400, ..report(1) });
    for _ in 0..COLD_LIMIT {
        admit(&mut backend, NOW).expect("within the limit");
    }

    assert_eq!(waiting(&mut backend, NOW, 1), [Some(NOW.after(400))]);
}

/// A service without a stated rate must not be limited to a few openings a second.
#[test]
fn a_cold_backend_server_without_a_stated_rate_has_no_rate_limit() {
    let mut backend = backend(Report { cold_ms: 3_000, ..report(1) });
    for _ in 0..10 * COLD_LIMIT {
        backend.record_opening(NOW);
    }

    assert_eq!(backend.opening_at(NOW, 0, None), Some(NOW));
    assert_eq!(backend.opening_at(NOW, 0, Some(4.5)), Some(NOW.after(1_100)));
}

/// A backend server that is draining, shutting down or overdue must not get new flows.
#[test]
fn closed_backend_servers_get_no_flow() {
    let mut draining = backend(Report { is_draining: true, ..report(1) });
    assert_eq!(admit(&mut draining, NOW), Err(Refusal::Draining));
    assert_eq!(draining.stage(NOW), Some(Stage::Closed));

    let mut left = backend(report(1));
    assert!(left.record_leave(NOW, "i-1"));
    assert_eq!(admit(&mut left, NOW), Err(Refusal::Draining));

    let mut silent = backend(report(1));
    let late = NOW.after(3 * REPORT_MS + 1);
    assert_eq!(admit(&mut silent, late), Err(Refusal::Unknown));
    assert_eq!(silent.stage(late), Some(Stage::Closed));

    let mut unknown = Backend::new(Millis(0), bounds());
    assert_eq!(admit(&mut unknown, NOW), Err(Refusal::Unknown));
    assert_eq!(unknown.stage(NOW), None);
}

/// A late report must not revoke a drain.
#[test]
fn late_reports_change_nothing() {
    let mut backend = backend(report(4));
    let drains = Report { is_draining: true, ..report(6) };
    assert_eq!(backend.record_report(NOW, drains), Change::Stage);

    assert_eq!(backend.record_report(NOW, report(5)), Change::Outdated);

    assert_eq!(backend.stage(NOW), Some(Stage::Closed));
}

/// A late report of a previous instance must not replace the current one.
#[test]
fn a_previous_instance_does_not_come_back() {
    let mut backend = backend(Report { started_ms: Some(2_000), ..report(1) });
    let old = Report { id: "i-0".into(), started_ms: Some(1_000), ..report(90) };

    assert_eq!(backend.record_report(NOW, old), Change::Outdated);

    assert_eq!(backend.report().map(|report| &*report.id), Some("i-1"));
}

/// Reports of a new instance under the same identifier must not be taken for outdated
/// ones.
#[test]
fn a_restart_under_the_same_identifier_is_a_replacement() {
    let mut backend = backend(report(40));
    let again = Report { started_ms: Some(9_000), ..report(1) };

    let change = backend.record_report(NOW, again);

    assert_eq!(change, Change::Started { is_replacement: true });
}

/// When a failure domain returns to service, its backend servers may be cold. They must
/// not get full load until their next report tells whether they are cold.
#[test]
fn a_possibly_cold_one_is_limited_until_its_next_report() {
    let mut backend = backend(report(1));
    backend.suspect_cold();
    for _ in 0..COLD_LIMIT {
        admit(&mut backend, NOW).expect("within the limit");
    }
    assert_eq!(admit(&mut backend, NOW), Err(Refusal::Cold));

    backend.record_report(NOW, report(2));

    assert_eq!(admit(&mut backend, NOW), Ok(()));
}

/// One report with an odd sequence number must not make all later ones outdated, and a
/// late report must not revoke a drain either.
#[test]
fn an_odd_sequence_number_does_not_end_the_reports() {
    let mut backend = backend(report(4));
    let odd = Report { sequence: u64::MAX, ..report(4) };
    backend.record_report(NOW, odd);

    let mut changes = Vec::new();
    for sequence in 5..12 {
        let at = NOW.after((sequence - 4) * REPORT_MS);
        changes.push(backend.record_report(at, report(sequence)));
    }

    // Three report intervals pass until the last valid report is overdue.
    assert_eq!(changes[..3], [Change::Outdated; 3]);
    assert_eq!(changes[4..], [Change::None; 3]);
    assert_eq!(backend.stage(NOW.after(7 * REPORT_MS)), Some(Stage::Ready));
}

/// A report that was delayed must not bring back a backend server that has left. One that
/// goes on reporting is alive, whoever said that it left.
#[test]
fn a_late_report_does_not_bring_back_a_backend_server_that_left() {
    let mut backend = backend(report(4));
    assert!(backend.record_leave(NOW, "i-1"));

    for (after_ms, sequence) in [(100, 5), (110, 6)] {
        let change = backend.record_report(NOW.after(after_ms), report(sequence));
        assert_eq!(change, Change::Outdated);
        assert_eq!(backend.stage(NOW.after(after_ms)), Some(Stage::Closed));
    }

    let change = backend.record_report(NOW.after(REPORT_MS + 100), report(7));
    assert_ne!(change, Change::Outdated);
    assert_eq!(backend.stage(NOW.after(REPORT_MS + 100)), Some(Stage::Ready));
}

/// An agent that was killed while its backend server was cold gave it the whole amount of a
/// second again.
#[test]
fn a_new_process_takes_the_limit_of_a_cold_backend_server_for_used() {
    let mut unknown = Backend::new(NOW, bounds());
    unknown.record_report(NOW.after(100), Report { cold_ms: 5_000, ..report(3) });
    let mut later = Backend::new(NOW, bounds());
    later.record_later_start();
    later.record_report(NOW.after(100), Report { cold_ms: 5_000, ..report(3) });

    assert_eq!(admit(&mut unknown, NOW.after(100)), Err(Refusal::Cold));
    assert_eq!(waiting(&mut unknown, NOW.after(100), 1), [Some(NOW.after(1_100))]);
    assert_eq!(admit(&mut unknown, NOW.after(1_100)), Ok(()));
    assert_eq!(admit(&mut later, NOW.after(100)), Ok(()));
}

/// A process that starts beside a warm backend server must not make callers wait.
#[test]
fn a_new_process_gives_openings_to_a_warm_backend_server_at_once() {
    let mut backend = Backend::new(NOW, bounds());
    backend.record_report(NOW.after(100), report(30));

    assert_eq!(admit(&mut backend, NOW.after(100)), Ok(()));
}
