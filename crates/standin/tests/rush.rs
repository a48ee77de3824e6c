//! Plays rushes of openings and checks what callers get.

use lentilreach_standin::rush::{Load, Policy, run};

#[test]
fn show() {
    for policy in [Policy::Goal] {
        for seed in 1..=3 {
            let outcome = run(&Load {
                policy,
                seed,
                servers: 7,
                per_s: 375.0,
                outage_ms: 1360,
                ..Load::default()
            });
            println!(
                "{policy:?} rej {} twice {} rbr {} wait {} fwd {}",
                outcome.rejected,
                outcome.run_twice,
                outcome.refused_but_run,
                outcome.longest_wait_ms,
                outcome.forwards
            );
            for s in &outcome.seconds {
                println!("  {s:?} {:.3}", s.share_in_time());
            }
        }
    }
}
