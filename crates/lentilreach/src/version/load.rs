//! What members say of their load, and what it costs to give one a flow.

use std::net::SocketAddrV4;

use crate::id::domain;
use crate::process::clock::Millis;
use crate::version::view::{Member, Stage};

/// How much a member's weight changes with its distance from the mean.
///
/// A member 10% below the mean gets twice its share of new flows. A larger gain makes
/// balancers with reports a second old overshoot; see `docs/decisions/steering.md`.
const GAIN: f32 = 10.0;

/// Time over which a trend is judged, in milliseconds: the age of load reports.
const TREND_MS: u64 = 1_000;

/// Least weight of a member. It still gets a few flows, so that a wrong report does not starve
/// it for ever.
const MIN_WEIGHT: f32 = 0.02;

/// Added to the cost of a member that may get no new flow: it comes after all others.
pub const LAST: f32 = 1e9;

/// Advised load. It lags, so it steers new flows only.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Open flows.
    pub open: u32,
    /// Open flows that it bears at present. Zero stands for unknown.
    pub limit: u32,
    /// Requests running.
    pub busy: u16,
    /// Requests that it may run at once at present.
    pub slots: u16,
    /// When the advice was received, in the receiver's time.
    pub at: Millis,
}

/// What routing reads of a member when it offers a flow: a small part, close together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// What it costs to give it a flow: the inverse of its weight, positive and finite.
    pub cost: f32,
    /// Where the agent receives envelopes.
    pub agent: SocketAddrV4,
    /// The failure domain that it runs in.
    pub domain: domain::Id,
}

/// The choices for new flows, in the order of the members.
///
/// The weight is the share of new flows that a member is to get. It grows with the distance
/// below the mean of open flows. Members that may get no new flow cost [`LAST`] more.
pub fn choices(members: &[Member], trend: &Trend) -> Vec<Choice> {
    let mean = takers_mean(members);
    let step = mean / GAIN + trend.growth();
    let choice = |member: &Member| {
        let last = if is_taker(member) { 0.0 } else { LAST };
        let cost = 1.0 / weight(member, mean, step) + last;
        Choice { cost, agent: member.agent, domain: member.domain }
    };
    members.iter().map(choice).collect()
}

/// How the mean of a service changes from one report to the next.
///
/// While a service fills up, members differ mostly by the age of their reports. Weights that
/// correct more than arrives within this age overshoot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Trend {
    /// Means and the time of the newest report in them, the older first, at least [`TREND_MS`]
    /// apart; the same twice at first.
    marks: [(Millis, f32); 2],
    /// The mean of the present reports.
    mean: f32,
}

impl Trend {
    /// The trend of members without a past.
    pub fn new(members: &[Member]) -> Self {
        let mean = takers_mean(members);
        Self { marks: [(newest(members), mean); 2], mean }
    }

    /// The trend after newer reports.
    pub fn next(&self, members: &[Member]) -> Self {
        let (mean, now) = (takers_mean(members), newest(members));
        let [_, last] = self.marks;
        let due = now.since(last.0) >= TREND_MS;
        Self { marks: if due { [last, (now, mean)] } else { self.marks }, mean }
    }

    /// Growth of the mean over the last one to two [`TREND_MS`], in flows; never negative.
    fn growth(&self) -> f32 {
        let [first, last] = self.marks;
        if first.0 == last.0 { 0.0 } else { (self.mean - first.1).max(0.0) }
    }
}

/// The time of the newest report.
fn newest(members: &[Member]) -> Millis {
    members.iter().map(|member| member.load.at).max().unwrap_or_default()
}

/// The mean of the reported open flows of a service, in tenths of a flow.
///
/// Only members that are neither cold nor draining count; `None` without any.
pub fn mean(members: &[Member]) -> Option<u32> {
    mean_where(members, |stage| stage == Stage::Active)
}

/// The same over all members that may be given new flows, cold ones included.
pub fn mean_serving(members: &[Member]) -> Option<u32> {
    mean_where(members, |stage| matches!(stage, Stage::Active | Stage::Cold))
}

/// The mean over the members whose stage counts.
fn mean_where(members: &[Member], counts: impl Fn(Stage) -> bool) -> Option<u32> {
    let counted = || members.iter().filter(|member| counts(member.stage));
    let open: u64 = counted().map(|member| u64::from(member.load.open)).sum();
    let tenths = (open * 10).checked_div(counted().count() as u64);
    tenths.map(|tenths| tenths as u32)
}

/// Whether a member may be given new flows.
fn is_taker(member: &Member) -> bool {
    let Load { open, limit, .. } = member.load;
    matches!(member.stage, Stage::Active | Stage::Cold) && (limit == 0 || open < limit)
}

/// The mean of the reported open flows of the members that may be given new flows.
fn takers_mean(members: &[Member]) -> f32 {
    let takers = || members.iter().filter(|member| is_taker(member));
    let open: u64 = takers().map(|member| u64::from(member.load.open)).sum();
    open as f32 / takers().count().max(1) as f32
}

/// The weight of a member in a service with this mean of open flows.
///
/// A distance of `step` flows below the mean adds one share of new flows. A cold member gets no
/// more than its share: with its few slots, it could not serve the requests of all flows that
/// it lacks.
fn weight(member: &Member, mean: f32, step: f32) -> f32 {
    if step == 0.0 {
        return 1.0;
    }
    let below = (mean - member.load.open as f32) / step;
    let most = if member.stage == Stage::Cold { 1.0 } else { f32::MAX };
    (1.0 + below).min(most).max(MIN_WEIGHT)
}
