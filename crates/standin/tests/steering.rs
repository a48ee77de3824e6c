//! The steering of new flows keeps its targets in the experiment.

use lentilreach_standin::experiment::{Figures, Order, Plan, Policy, Scenario, run};

/// A run of the library's policy.
fn figures(members: usize, plan: Plan, seed: u64) -> Figures {
    let life_ms = 10_000;
    let end_ms = if plan == Plan::Rolling { 120_000 } else { 60_000 };
    let scenario = Scenario { members, flows: 40, life_ms, plan, end_ms, seed };
    run(scenario, Policy { order: Order::Library, bound: true })
}

/// Guards against a change of steering or admission that misses the target of imbalance, or
/// that refuses flows while a member has room.
#[test]
fn imbalance_is_within_the_target() {
    for plan in [Plan::Steady, Plan::Rolling] {
        for (members, seed) in [(3, 1), (3, 2), (4, 1), (4, 2), (7, 1), (7, 2)] {
            let figures = figures(members, plan, seed);

            assert!(figures.imbalance <= 1.10, "{members} {plan:?} {seed}: {figures:?}");
            assert!(figures.refused < 0.001, "{members} {plan:?} {seed}: {figures:?}");
        }
    }
}

/// Guards against a verdict that changes from run to run.
#[test]
fn a_run_is_repeatable() {
    let (first, second) = (figures(4, Plan::Rolling, 1), figures(4, Plan::Rolling, 1));

    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}
