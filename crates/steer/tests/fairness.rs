//! Tests of the shares of callers.

use std::net::Ipv4Addr;

use lentilreach::process::clock::Millis;
use lentilreach_steer::process::schedule::fairness::Shares;

/// Expected cost of each job, in milliseconds.
const COST_MS: f64 = 40.0;

/// The address of a caller.
fn caller(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(100, 64, 0, number)
}

/// Shares of callers that have all made one job, which was served.
fn shares(callers: u8) -> Shares {
    let mut shares = Shares::default();
    for number in 0..callers {
        shares.charge(Millis(5_000), caller(number), COST_MS);
        shares.serve(COST_MS);
    }
    shares
}

/// A caller with fifty flows must not win over fifty callers with one each.
#[test]
fn a_greedy_caller_waits_behind_others() {
    let mut shares = shares(50);

    let greedy: Vec<_> =
        (0..50).map(|_| shares.charge(Millis(5_000), caller(200), COST_MS)).collect();
    let others: Vec<_> =
        (0..50).map(|n| shares.charge(Millis(5_000), caller(n), COST_MS)).collect();

    assert_eq!(greedy[0], 0);
    assert!(greedy.is_sorted(), "{greedy:?}");
    assert!(greedy[10..].iter().all(|level| *level >= 2), "{greedy:?}");
    assert!(others.iter().all(|level| *level == 0), "{others:?}");
}

/// A caller must not pay for ever for what it has used.
#[test]
fn a_caller_gets_its_share_again() {
    let mut shares = shares(10);
    for _ in 0..1_000 {
        shares.charge(Millis(5_000), caller(200), COST_MS);
    }

    let before = shares.charge(Millis(5_100), caller(200), COST_MS);
    // Others are served, of which each gets a tenth.
    for _ in 0..700 {
        shares.serve(COST_MS);
    }
    let after = shares.charge(Millis(5_200), caller(200), COST_MS);

    assert!(before >= 14, "{before}");
    assert_eq!(after, 0);
}

/// Callers come and go; state must not grow with all that ever were.
#[test]
fn only_active_callers_are_kept() {
    let mut shares = Shares::default();
    for number in 0..20_000_u32 {
        shares.charge(Millis(5_000), Ipv4Addr::from(number), COST_MS);
    }
    let crowded = shares.callers();

    shares.charge(Millis(8_000), caller(1), COST_MS);
    let quiet = shares.callers();

    assert_eq!(crowded, 4_096);
    assert!(quiet <= 1, "{quiet}");
}
