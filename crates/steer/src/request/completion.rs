//! Selects the agent at which a request is expected to be answered first.
//!
//! Answers the load of backend servers that differ in speed or turn slow, and of failure
//! domains whose peaks differ. Statements of agents are older than their queues: if nodes
//! followed them, all would choose the same agent until its next statement. So they only
//! tell durations, and means over seconds; what changes faster is what this node has placed
//! itself. A bounded number of agents is compared, so the cost of a choice doesn't grow with
//! their number.

use std::cmp::Ordering;
use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;

use super::placement::{self, Request};
use crate::process::roster::{Member, Roster};
use crate::request::message::Stage;
use crate::version::routing::Routing;

/// Maximum number of members that are looked at for one choice.
const MAX_VISITED: usize = 64;

/// Time by which an answer must be expected sooner in another failure domain than in the
/// caller's, in milliseconds. It stands for the delay and the price of the link.
const OTHER_DOMAIN_MS: f64 = 25.0;

/// Stride between the members that are looked at. A prime, so that a sample of any fleet
/// has agents of all failure domains, whose addresses are neighbours.
const STRIDE: usize = 7_919;

/// An agent for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Its address.
    pub agent: SocketAddrV4,
    /// Expected time until the answer, in milliseconds; `None` if little is known yet.
    pub completion_ms: Option<f64>,
}

/// Selects the agent at which a request is expected to be answered first. Skips the agents
/// in `tried`.
///
/// Returns `None` if the flow has to be placed in another way: some candidate doesn't state
/// its load, as agents of an older version, or flows of this route are open for many
/// requests.
pub fn choose(
    now: Millis,
    routing: &Routing,
    roster: &Roster,
    request: Request<'_>,
    tried: &[SocketAddrV4],
) -> Option<Choice> {
    let hash = request.flow.hash();
    let mut candidates = Vec::new();
    for member in visited(roster, hash) {
        let is_usable = placement::is_eligible(routing, member, request.service)
            && !tried.contains(&member.address);
        if is_usable {
            candidates.push(Candidate::new(now, hash, request, member)?);
        }
    }
    let failing = candidates.iter().filter(|candidate| candidate.is_failing).count();
    // If many fail, the others may not be able to serve their requests as well.
    if failing * placement::MAX_FAILING_SHARE > candidates.len() {
        candidates.iter_mut().for_each(|candidate| candidate.is_failing = false);
    }
    let near = Group::new(&candidates, true);
    let far = Group::new(&candidates, false);
    let best = match (near, far) {
        (Some(near), Some(far)) if far.is_preferred_to(&near) => far.best,
        (Some(near), _) => near.best,
        (None, far) => far?.best,
    };
    Some(best.choice)
}

/// Candidates in the caller's failure domain, or in others.
#[derive(Debug)]
struct Group<'a> {
    /// The best one.
    best: &'a Candidate,
    /// Mean of the expected time until an answer, in milliseconds, of those of which it is
    /// known; `None` if there are none.
    completion_ms: Option<f64>,
}

impl<'a> Group<'a> {
    /// Creates the group of those that are in the caller's failure domain, or of those that
    /// aren't. Returns `None` if there are none.
    fn new(candidates: &'a [Candidate], is_near: bool) -> Option<Self> {
        let members = candidates.iter().filter(|candidate| candidate.is_near == is_near);
        let best = members.clone().min_by(|a, b| a.compare(b))?;
        let known = members.filter_map(|member| member.choice.completion_ms);
        let (sum, count) = known.fold((0.0, 0), |(sum, n), ms| (sum + ms, n + 1));
        let completion_ms = (count > 0).then(|| sum / f64::from(count));
        Some(Self { best, completion_ms })
    }

    /// Whether this group, in other failure domains than the caller, is better.
    fn is_preferred_to(&self, near: &Self) -> bool {
        let (class, near_class) = (self.best.class(), near.best.class());
        let is_sooner = near
            .completion_ms
            .zip(self.completion_ms)
            .is_some_and(|(near_ms, ms)| near_ms - ms > OTHER_DOMAIN_MS);
        class < near_class || (class == near_class && is_sooner)
    }
}

/// An agent that could be chosen.
#[derive(Debug)]
struct Candidate {
    /// The agent.
    choice: Choice,
    /// Whether it is in the caller's failure domain.
    is_near: bool,
    /// Whether its backend server fails.
    is_failing: bool,
    /// Stage of its backend server.
    stage: Stage,
    /// Work that this node has placed on it; zero if it is idle.
    work: f64,
    /// Decides between agents that are alike: the lowest one is chosen. Draws by the flow's
    /// hash, in which a candidate wins as often as its speed says.
    draw: f64,
}

impl Candidate {
    /// Creates a candidate. Returns `None` if nothing can be expected of it.
    fn new(
        now: Millis,
        hash: u64,
        request: Request<'_>,
        member: &Member,
    ) -> Option<Self> {
        let expectation = member.expectation(now, request.flow.service)?;
        let agent = member.address;
        let completion_ms = expectation.completion_ms;
        Some(Self {
            choice: Choice { agent, completion_ms },
            is_near: *member.domain == *request.domain,
            is_failing: member.is_failing(),
            stage: member.stage()?,
            work: if expectation.is_idle { 0.0 } else { expectation.work },
            draw: draw(placement::rendezvous_weight(hash, agent), expectation.speed),
        })
    }

    /// Orders candidates of the same failure domain, the best first.
    fn compare(&self, other: &Self) -> Ordering {
        let work = self.work.total_cmp(&other.work);
        let draw = self.draw.total_cmp(&other.draw);
        self.class().cmp(&other.class()).then(work).then(draw)
    }

    /// What comes before the amount of work.
    fn class(&self) -> (bool, Stage) {
        (self.is_failing, self.stage)
    }
}

/// A value with an exponential distribution of the given rate, from evenly distributed bits.
/// The lowest of several belongs to each with a probability in proportion to its rate.
fn draw(bits: u64, rate: f64) -> f64 {
    let share = (bits as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -share.ln() / rate
}

/// The members to look at for a flow with a hash, in an order that depends on it. All of a
/// small fleet.
fn visited(roster: &Roster, hash: u64) -> impl Iterator<Item = &Member> {
    let members = roster.members();
    let count = members.len();
    let first = (hash % count.max(1) as u64) as usize;
    // A stride that shares no factor with the number of members visits each once.
    let stride = if count.is_multiple_of(STRIDE) { 1 } else { STRIDE % count.max(1) };
    (0..count.min(MAX_VISITED)).map(move |step| &members[(first + step * stride) % count])
}
