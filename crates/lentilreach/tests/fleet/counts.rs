//! What callers and backend servers counted, and the invariants of the design page over it.

use std::collections::{BTreeMap, BTreeSet};

use super::Attempt;

/// Counts of one run. All but the last three must stay 0.
#[derive(Debug, Default)]
pub struct Counts {
    /// 1: established flows that ended without their failure domain out or their agent dead.
    pub broken: u32,
    /// 2: packets that reached an agent or a backend server of another service.
    pub wrong_service: u32,
    /// 3: requests above the slots, in a cold start above the cold slots.
    pub overruns: u32,
    /// 4: packets to a failure domain that was taken out over 3 s ago.
    pub out_packets: u32,
    /// 5: answers for another operation than the caller asked for.
    pub mismatched: u32,
    /// 8: requests begun on a backend server that drains for over 3 s.
    pub leaving_work: u32,
    /// 9: requests that a planned stop interrupted.
    pub interrupted: u32,
    /// 10: processes that went back to an older revision.
    pub reverted: u32,
    /// 10: processes without the last revision 7 s later.
    pub behind: u32,
    /// Service: callers whose last request was not answered.
    pub unserved: u32,
    /// 7: how often each try of a request began, by whether it is idempotent.
    pub started: BTreeMap<(bool, Attempt), u32>,
    /// 6: tries that callers were told did not run.
    pub not_run: BTreeSet<Attempt>,
    /// Requests answered.
    pub answered: u32,
}

impl Counts {
    /// The broken invariants; empty if all hold.
    pub fn violations(&self) -> Vec<String> {
        let mut started: BTreeMap<u64, u32> = BTreeMap::new();
        for ((idempotent, attempt), count) in &self.started {
            if !idempotent {
                *started.entry(attempt.operation).or_default() += count;
            }
        }
        let twice = started.values().filter(|count| **count > 1).count() as u32;
        let ran = |attempt: &&Attempt| {
            [true, false]
                .iter()
                .any(|kind| self.started.contains_key(&(*kind, **attempt)))
        };
        let untrue = self.not_run.iter().filter(ran).count() as u32;
        let counts = [
            ("1 broken flows", self.broken),
            ("2 wrong service", self.wrong_service),
            ("3 overruns", self.overruns),
            ("4 packets to a domain that is out", self.out_packets),
            ("5 mismatched answers", self.mismatched),
            ("6 not run but ran", untrue),
            ("7 run twice", twice),
            ("8 new work while draining", self.leaving_work),
            ("9 interrupted by a planned stop", self.interrupted),
            ("10 reverted", self.reverted),
            ("10 behind", self.behind),
            ("unserved callers", self.unserved),
            ("too few answers to judge", u32::from(self.answered < 200)),
        ];
        let broken = counts.into_iter().filter(|(_, count)| *count > 0);
        broken.map(|(name, count)| format!("{name}: {count}")).collect()
    }
}
