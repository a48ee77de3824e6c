//! Random runs, and how those that break a promise are shortened.

use super::explore::Counterexample;
use super::step::{State, Step};

/// Checks the state at the end of a run; returns the promise that is broken.
type Check<'c> = &'c dyn Fn(&State) -> Option<String>;

/// A step and its description, which names a message whatever its index is.
type Named = (Step, String);

/// A random run.
#[derive(Debug)]
pub struct Run {
    /// Number of steps that it took.
    pub taken: usize,
    /// The steps to a broken promise.
    pub counterexample: Option<Counterexample>,
}

/// Takes random steps from a start state, each kind of step with the same probability, and
/// checks the state at the end. The steps to a broken promise are returned without those that
/// can be left out.
pub fn walk(start: &State, seed: u64, steps: usize, check_end: Check<'_>) -> Run {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut state = start.clone();
    let mut path = Vec::new();
    for _ in 0..steps {
        let enabled = state.steps();
        let mut kinds: Vec<_> = enabled.iter().map(std::mem::discriminant).collect();
        kinds.dedup();
        let Some(kind) = random.choice(&kinds) else { break };
        let of_kind =
            enabled.iter().filter(|step| std::mem::discriminant(*step) == *kind);
        let Some(step) = random.choice(of_kind.collect::<Vec<_>>()) else { break };
        path.push((*step, state.describe(*step)));
        state.apply(*step);
    }
    let taken = path.len();
    let counterexample = broken(&state, check_end).map(|_| {
        let (path, broken) = shorten(start, path, check_end);
        let steps = path.into_iter().map(|(_, description)| description).collect();
        Counterexample { steps, broken }
    });
    Run { taken, counterexample }
}

/// The promise that is broken in the state at the end of a run.
fn broken(state: &State, check_end: Check<'_>) -> Option<String> {
    state.world.broken.clone().or_else(|| check_end(state))
}

/// Leaves out steps as long as the rest still breaks a promise: first half of them, at last
/// single ones.
fn shorten(
    start: &State,
    path: Vec<Named>,
    check_end: Check<'_>,
) -> (Vec<Named>, String) {
    let (mut path, found) = replay(start, &path, check_end);
    let mut found = found.expect("the run is repeatable");
    let mut length = path.len().div_ceil(2);
    loop {
        let mut from = 0;
        let before = path.len();
        while from < path.len() {
            let to = (from + length).min(path.len());
            let rest = [&path[..from], &path[to..]].concat();
            match replay(start, &rest, check_end) {
                (shorter, Some(broken)) => (path, found) = (shorter, broken),
                (_, None) => from = to,
            }
        }
        if length == 1 && path.len() == before {
            return (path, found);
        }
        length = length.div_ceil(2);
    }
}

/// Performs the steps of a path that are possible, until a promise is broken.
fn replay(
    start: &State,
    path: &[Named],
    check_end: Check<'_>,
) -> (Vec<Named>, Option<String>) {
    let mut state = start.clone();
    let mut taken = Vec::new();
    for (step, description) in path {
        let enabled = state.steps();
        let is_same = |step: &&Step| state.describe(**step) == *description;
        let same = enabled.iter().find(|other| *other == step && is_same(other));
        if let Some(step) = same.or_else(|| enabled.iter().find(is_same)) {
            taken.push((*step, description.clone()));
            state.apply(*step);
        }
    }
    let broken = broken(&state, check_end);
    (taken, broken)
}
