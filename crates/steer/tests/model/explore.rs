//! Search through all interleavings up to a depth.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::step::{State, Step};
use super::world::hash;

/// What a search has found.
#[derive(Debug)]
pub struct Outcome {
    /// Number of different states.
    pub states: usize,
    /// Time that the search took; for reports only.
    pub elapsed: Duration,
    /// The steps to a broken promise.
    pub counterexample: Option<Counterexample>,
}

/// Steps that break a promise.
#[derive(Debug)]
pub struct Counterexample {
    /// The steps in order, as text.
    pub steps: Vec<String>,
    /// The promise that is broken.
    pub broken: String,
}

/// A depth-first search.
struct Search<'c> {
    /// The greatest number of steps that were left in each state that was visited.
    visited: HashMap<u64, u8>,
    /// The steps from the start to the current state.
    path: Vec<Step>,
    /// Checks a state at which the search ends; returns the promise that is broken.
    check_end: &'c dyn Fn(&State) -> Option<String>,
    /// The broken promises so far, if the search goes on after each.
    broken: Option<Vec<(String, Vec<Step>)>>,
}

/// Visits every state that can be reached by at most `depth` steps.
pub fn explore(start: &State, depth: u8) -> Outcome {
    explore_and_check(start, depth, &|_| None)
}

/// Like [`explore`], and checks each state at which the search ends.
pub fn explore_and_check(
    start: &State,
    depth: u8,
    check_end: &dyn Fn(&State) -> Option<String>,
) -> Outcome {
    let began = Instant::now();
    let mut search =
        Search { visited: HashMap::new(), path: Vec::new(), check_end, broken: None };
    let broken = search.visit(start.clone(), depth);
    let states = search.visited.len();
    let path = search.path;
    let counterexample = broken.map(|broken| {
        let shortest = shortest(start, path.len() as u8, check_end);
        let (path, broken) = shortest.unwrap_or((path, broken));
        Counterexample { steps: describe(start, &path), broken }
    });
    Outcome { states, elapsed: began.elapsed(), counterexample }
}

/// Visits every state within `depth` steps and goes on after a broken promise. Returns a
/// shortest counterexample for each promise that is broken.
pub fn survey(start: &State, depth: u8) -> (Vec<Counterexample>, usize) {
    let mut found: Vec<Counterexample> = Vec::new();
    let mut states = 0;
    for depth in 1..=depth {
        let check_end = |_: &State| None;
        let mut search = Search {
            visited: HashMap::new(),
            path: Vec::new(),
            check_end: &check_end,
            broken: Some(Vec::new()),
        };
        search.visit(start.clone(), depth);
        states = search.visited.len();
        for (broken, path) in search.broken.unwrap_or_default() {
            if found.iter().all(|known| known.broken != broken) {
                found.push(Counterexample { steps: describe(start, &path), broken });
            }
        }
    }
    (found, states)
}

impl Search<'_> {
    /// Visits a state and those that follow within `left` steps. Leaves the path at the
    /// first state in which a promise is broken.
    fn visit(&mut self, mut state: State, left: u8) -> Option<String> {
        if let Some(broken) = state.world.broken.clone() {
            let Some(known) = &mut self.broken else { return Some(broken) };
            if known.iter().all(|(other, _)| *other != broken) {
                known.push((broken, self.path.clone()));
            }
            return None;
        }
        let key = hash(&(state.world.key(), state.budget));
        match self.visited.get(&key) {
            Some(known) if *known >= left => return None,
            _ => self.visited.insert(key, left),
        };
        let steps = if left == 0 { Vec::new() } else { state.steps() };
        if steps.is_empty() {
            return (self.check_end)(&state);
        }
        for step in steps {
            let mut next = state.clone();
            next.apply(step);
            self.path.push(step);
            if let Some(broken) = self.visit(next, left - 1) {
                return Some(broken);
            }
            self.path.pop();
        }
        None
    }
}

/// A shortest path to a broken promise that needs at most `limit` steps.
fn shortest(
    start: &State,
    limit: u8,
    check_end: &dyn Fn(&State) -> Option<String>,
) -> Option<(Vec<Step>, String)> {
    (1..limit).find_map(|depth| {
        let mut search =
            Search { visited: HashMap::new(), path: Vec::new(), check_end, broken: None };
        let broken = search.visit(start.clone(), depth)?;
        Some((search.path, broken))
    })
}

/// The steps of a path as text.
fn describe(start: &State, path: &[Step]) -> Vec<String> {
    let mut state = start.clone();
    let mut lines = Vec::new();
    for step in path {
        lines.push(state.describe(*step));
        state.apply(*step);
    }
    lines
}
