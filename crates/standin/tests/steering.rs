//! Checks that the steering of new flows meets its balance targets in simulation.

use lentilreach_standin::experiment::{Figures, Order, Plan, Policy, Scenario, run};

/// Runs the library's policy.
fn run_library_policy(members: usize, plan: Plan, seed: u64) -> Figures {
    let life_ms = 10_000;
    let end_ms = if plan == Plan::Rolling { 120_000 } else { 60_000 };
    let scenario = Scenario { members, flows: 40, life_ms, plan, end_ms, seed };
    run(scenario, Policy { order: Order::Library, bound: true })
}

/// Guards against steering or admission that exceeds the target imbalance, or that refuses
/// flows although a member has capacity.
#[test]
fn imbalance_is_within_the_target() {
    for plan in [Plan::Steady, Plan::Rolling] {
        for (members, seed) in [(3, 1), (3, 2), (4, 1), (4, 2), (7, 1), (7, 2)] {
            let figures = run_library_policy(members, plan, seed);

            assert!(figures.imbalance <= 1.10, "{members} {plan:?} {seed}: {figures:?}");
            assert!(figures.refused < 0.001, "{members} {plan:?} {seed}: {figures:?}");
        }
    }
}

/// Guards against results that differ between runs with the same seed.
#[test]
fn a_run_is_repeatable() {
    let (first, second) = (
        run_library_policy(4, Plan::Rolling, 1),
        run_library_policy(4, Plan::Rolling, 1),
    );

    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}
