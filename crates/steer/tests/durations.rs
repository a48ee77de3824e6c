//! Tests of the learned durations of requests.

mod fixture;

use fastrand::Rng;
use fixture::{calendar, invoices};
use lentilreach_steer::process::schedule::durations::Durations;

/// Mean duration of most requests, in milliseconds.
const REQUEST_MS: f64 = 20.0;

/// Records requests of which each takes half to one and a half times `ms`, and three
/// percent seven times as long.
fn record(durations: &mut Durations, rng: &mut Rng, requests: usize, ms: f64) {
    for _ in 0..requests {
        let tail = if rng.u32(..100) < 3 { 7.0 } else { 1.0 };
        durations.record(calendar(), (ms * (0.5 + rng.f64()) * tail) as u64);
    }
}

/// The mean after a number of requests.
fn mean(durations: &Durations) -> f64 {
    durations.mean_ms().expect("enough requests")
}

/// A few requests that take many times as long must not make a backend server seem to
/// change its speed.
#[test]
fn the_tail_does_not_move_the_mean_much() {
    for seed in 1..=20 {
        let (mut durations, mut rng) = (Durations::default(), Rng::with_seed(seed));
        record(&mut durations, &mut rng, 300, REQUEST_MS);

        for _ in 0..100 {
            record(&mut durations, &mut rng, 5, REQUEST_MS);
            let ratio = mean(&durations) / (REQUEST_MS * 1.18);
            assert!((0.6..1.6).contains(&ratio), "seed {seed}: {ratio}");
        }
    }
}

/// A backend server that turns slow, or fast again, must be noticed within a second of its
/// answers: at the least load that matters, some thirty.
#[test]
fn a_change_of_speed_is_noticed_within_thirty_answers() {
    for seed in 1..=20 {
        for factor in [3.0, 5.0, 8.0] {
            let (mut durations, mut rng) = (Durations::default(), Rng::with_seed(seed));
            record(&mut durations, &mut rng, 300, REQUEST_MS);
            let usual = mean(&durations);

            record(&mut durations, &mut rng, 30, REQUEST_MS * factor);
            let slow = mean(&durations);
            record(&mut durations, &mut rng, 30, REQUEST_MS);
            let recovered = mean(&durations);

            assert!(slow > usual * factor / 2.0, "seed {seed}: {usual} to {slow}");
            assert!(recovered < usual * 2.0, "seed {seed}: {usual} to {recovered}");
        }
    }
}

/// A busy agent sees several ends at once: of two requests that end together, the second seems
/// to have taken no time in its slot. That must not make its backend server seem fast, or it
/// would get more the busier it is.
#[test]
fn ends_that_are_seen_together_do_not_make_a_backend_server_seem_fast() {
    let (mut durations, mut rng) = (Durations::default(), Rng::with_seed(1));
    record(&mut durations, &mut rng, 300, REQUEST_MS);
    let usual = mean(&durations);

    for _ in 0..100 {
        durations.record_queued(2 * REQUEST_MS as u64);
        durations.record_queued(0);
    }

    let ratio = mean(&durations) / usual;
    assert!((0.7..1.4).contains(&ratio), "{ratio}");
}

/// What has run for long will run longer, where a few requests take many times as long.
#[test]
fn the_remaining_time_grows_with_the_age() {
    let (mut durations, mut rng) = (Durations::default(), Rng::with_seed(1));
    record(&mut durations, &mut rng, 3_000, REQUEST_MS);

    let fresh = durations.residual_ms(0).expect("enough requests");
    let half_done = durations.residual_ms(10).expect("enough requests");
    let old = durations.residual_ms(50).expect("enough requests");

    assert!(half_done < fresh, "{half_done} {fresh}");
    assert!(old > 2.0 * fresh, "{old} {fresh}");
}

/// The wait for a slot counts what runs, with its age, and what is queued.
#[test]
fn the_wait_counts_what_runs_and_what_is_queued() {
    let (mut durations, mut rng) = (Durations::default(), Rng::with_seed(1));
    record(&mut durations, &mut rng, 300, REQUEST_MS);

    let wait_ms = |ages: &[u64], queued| durations.wait_ms(ages, queued, 2, REQUEST_MS);

    assert_eq!(wait_ms(&[10], 0), 0.0);
    let taken = wait_ms(&[10, 10], 0);
    assert!(taken > 0.0 && taken < REQUEST_MS * 2.0, "{taken}");
    assert!((wait_ms(&[10, 10], 4) - taken - 2.0 * REQUEST_MS).abs() < 0.001);
}

/// Flows with many requests must be told from those with one each, and fifty routes with
/// one request each must not make the table grow.
#[test]
fn routes_are_told_apart_and_bounded() {
    let mut durations = Durations::default();
    for _ in 0..10 {
        durations.record_opening(calendar());
        durations.record_request(calendar());
        durations.record(calendar(), 20);
        durations.record_request(invoices());
        durations.record(invoices(), 60);
    }
    for port in 1_000..1_050 {
        let mut address = calendar();
        address.set_port(port);
        durations.record_request(address);
        durations.record(address, 20);
    }

    let routes: Vec<_> = durations.routes().collect();
    let find = |address| {
        let found = routes.iter().find(|route| route.0 == address);
        *found.expect("the busiest routes are kept")
    };

    assert!(!find(calendar()).2);
    assert!(find(invoices()).2);
    assert!(find(invoices()).1 > find(calendar()).1);
    assert!(routes.len() <= 16);
}
