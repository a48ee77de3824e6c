//! Prints the comparison of steering policies for `docs/decisions/steering.md`.
//!
//! The first argument is the number of seeds (default 5).

use lentilreach_standin::experiment::{
    Figures, Order, Plan, Policy, START_MS, Scenario, run,
};

/// The compared policies with their labels.
const POLICIES: [(&str, Policy); 9] = [
    ("rendezvous", Policy { order: Order::Rendezvous, bound: false }),
    ("two choices", Policy { order: Order::TwoChoices, bound: false }),
    ("least reported", Policy { order: Order::LeastLoaded, bound: false }),
    ("before", Policy { order: Order::Quantised, bound: false }),
    ("rendezvous + bound", Policy { order: Order::Rendezvous, bound: true }),
    ("two choices + bound", Policy { order: Order::TwoChoices, bound: true }),
    ("least reported + bound", Policy { order: Order::LeastLoaded, bound: true }),
    (
        "reported and sent + bound",
        Policy { order: Order::LeastLoadedWithSent, bound: true },
    ),
    ("library", Policy { order: Order::Library, bound: true }),
];

fn main() {
    let seeds = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(5);
    for (plan, life_ms) in [
        (Plan::Fill, 20_000),
        (Plan::Steady, 20_000),
        (Plan::Rolling, 20_000),
        (Plan::Rolling, 60_000),
    ] {
        for (members, flows) in
            [(3, 40), (4, 40), (7, 40), (40, 40), (3, 400), (4, 400), (7, 400), (40, 400)]
        {
            println!(
                "\n{plan:?}, {members} members, {flows} flows each, life {} s",
                life_ms / 1_000
            );
            println!("| policy | imbalance | p99 | hops | split | refused |");
            println!("| --- | --- | --- | --- | --- | --- |");
            for (name, policy) in POLICIES {
                let figures = (1..=seeds).map(|seed| {
                    let end_ms = START_MS
                        + match plan {
                            Plan::Fill => 5_000,
                            Plan::Steady => 3 * life_ms + 64_000,
                            Plan::Rolling => 3 * life_ms + 134_000,
                        };
                    let scenario =
                        Scenario { members, flows, life_ms, plan, end_ms, seed };
                    run(scenario, policy)
                });
                print_means(name, &figures.collect::<Vec<_>>());
            }
        }
    }
}

/// Prints the means over the seeds.
fn print_means(name: &str, all: &[Figures]) {
    let mean = |field: fn(&Figures) -> f64| {
        all.iter().map(field).sum::<f64>() / all.len().max(1) as f64
    };
    println!(
        "| {name} | {:.3} | {:.3} | {:.2} | {:.2} | {:.4} |",
        mean(|f| f.imbalance),
        mean(|f| f.p99),
        mean(|f| f.hops),
        mean(|f| f.split),
        mean(|f| f.refused),
    );
}
