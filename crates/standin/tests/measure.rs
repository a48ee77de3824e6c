//! Checks that gossip meets its performance targets at a small scale.

use lentilreach_standin::measure::{Plan, Report, Settings, run};

/// Measures a fleet of 20 balancers and 60 targets.
fn measure(plan: Plan, seed: u64) -> Report {
    let (nodes, targets) = (20, 60);
    run(&Settings { nodes, targets, loss_percent: 1.0, seconds: 30, seed, plan })
}

/// Guards against configuration changes that take longer than 7 s until the last node, or 2 s
/// at the median, and against more than 11,000 bytes per second sent by a balancer.
#[test]
fn performance_targets_are_met() {
    for (plan, seed) in [(Plan::Steady, 1), (Plan::StoreOutage, 2), (Plan::Steady, 3)] {
        let report = measure(plan, seed);

        assert_eq!(report.in_force_missing, 0, "{report:?}");
        assert!(report.in_force_ms_max.is_some_and(|ms| ms <= 7_000), "{report:?}");
        assert!(report.in_force_ms_p50.is_some_and(|ms| ms <= 2_000), "{report:?}");
        assert!(report.bytes_per_s_per_node_max <= 11_000, "{report:?}");
        assert_eq!(report.not_alive_at_end, 0, "{report:?}");
    }
}

/// Guards against restarted balancers that never become ready.
#[test]
fn restarted_balancers_become_ready() {
    let report = measure(Plan::Restart, 4);

    assert_eq!(report.ready_missing, Some(0), "{report:?}");
    assert!(report.bytes_per_s_per_node_max <= 11_000, "{report:?}");
}

/// Guards against results that differ between runs with the same seed.
#[test]
fn same_seed_gives_same_results() {
    let (first, second) = (measure(Plan::Partition, 5), measure(Plan::Partition, 5));

    assert_eq!(first.sent_by_kind, second.sent_by_kind);
    assert_eq!(first.in_force_ms_max, second.in_force_ms_max);
}
