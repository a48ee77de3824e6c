//! Event counts of a simulation, and the invariants of the design page that they are checked
//! against.

use std::collections::{BTreeMap, BTreeSet};

use super::Attempt;

/// Counts of one run. All but the last three must be 0. A number refers to an invariant.
#[derive(Debug, Default)]
pub struct Counts {
    /// 1: established flows that ended although their agent was alive and their failure domain
    /// was in service.
    pub broken: u32,
    /// 2: packets that reached an agent or a backend server of another service.
    pub wrong_service: u32,
    /// 3: requests above the slots, or above the cold slots during a cold start.
    pub overruns: u32,
    /// 4: packets to a failure domain that was taken out more than 3 s before.
    pub packets_to_out_domains: u32,
    /// 5: responses to another operation than the one requested.
    pub mismatched: u32,
    /// 8: requests started on a backend server that has been draining for more than 3 s.
    pub work_while_draining: u32,
    /// 9: requests interrupted by a planned stop.
    pub interrupted: u32,
    /// 10: processes that reverted to an older revision.
    pub reverted: u32,
    /// 10: processes without the latest revision after 7 s.
    pub outdated: u32,
    /// Availability: callers without a recent response.
    pub unserved: u32,
    /// 7: number of times that each attempt started, by whether the request is idempotent.
    pub started: BTreeMap<(bool, Attempt), u32>,
    /// 6: attempts that callers were told did not run.
    pub not_run: BTreeSet<Attempt>,
    /// Requests with a response.
    pub answered: u32,
}

impl Counts {
    /// The violated invariants; empty if all hold.
    pub fn violations(&self) -> Vec<String> {
        let mut started: BTreeMap<u64, u32> = BTreeMap::new();
        for ((idempotent, attempt), count) in &self.started {
            if !idempotent {
                *started.entry(attempt.operation).or_default() += count;
            }
        }
        let run_twice = started.values().filter(|count| **count > 1).count() as u32;
        let ran = |attempt: &&Attempt| {
            [true, false]
                .iter()
                .any(|kind| self.started.contains_key(&(*kind, **attempt)))
        };
        let not_run_but_ran = self.not_run.iter().filter(ran).count() as u32;
        let counts = [
            ("1 broken flows", self.broken),
            ("2 wrong service", self.wrong_service),
            ("3 overruns", self.overruns),
            ("4 packets to a domain that is out", self.packets_to_out_domains),
            ("5 mismatched responses", self.mismatched),
            ("6 not run but ran", not_run_but_ran),
            ("7 run twice", run_twice),
            ("8 new work while draining", self.work_while_draining),
            ("9 interrupted by a planned stop", self.interrupted),
            ("10 reverted", self.reverted),
            ("10 outdated", self.outdated),
            ("unserved callers", self.unserved),
            ("too few responses to judge", u32::from(self.answered < 200)),
        ];
        let violated = counts.into_iter().filter(|(_, count)| *count > 0);
        violated.map(|(name, count)| format!("{name}: {count}")).collect()
    }
}
