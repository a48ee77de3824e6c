//! The steering of new flows keeps its targets in the experiment.

use lentilreach_standin::experiment::{Figures, Order, Policy, Scenario, run};

/// A run of the library's policy.
fn figures(members: usize, rolling: bool, seed: u64) -> Figures {
    let life_ms = 10_000;
    let duration_ms = if rolling { 120_000 } else { 60_000 };
    let scenario = Scenario { members, flows: 40, life_ms, rolling, duration_ms, seed };
    run(scenario, Policy { order: Order::Library, bound: true })
}

/// Guards against a change of steering or admission that misses the target of imbalance, or
/// that refuses flows while a member has room.
#[test]
fn imbalance_is_within_the_target() {
    for (members, rolling) in
        [(3, false), (4, false), (7, false), (3, true), (4, true), (7, true)]
    {
        for seed in 1..=3 {
            let figures = figures(members, rolling, seed);

            assert!(figures.imbalance <= 1.10, "{members} {rolling} {seed}: {figures:?}");
            assert!(figures.refused < 0.001, "{members} {rolling} {seed}: {figures:?}");
        }
    }
}

/// Guards against a verdict that changes from run to run.
#[test]
fn a_run_is_repeatable() {
    let (first, second) = (figures(4, true, 1), figures(4, true, 1));

    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}
