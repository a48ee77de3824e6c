//! Load reports of members, and the costs by which routing distributes new flows.

use std::net::SocketAddrV4;

use crate::id::domain;
use crate::process::clock::Millis;
use crate::version::view::{Member, Stage};

/// Gain of the feedback from a member's distance to the mean load to its weight.
///
/// With this gain, a member 10% below the mean gets twice its share of new flows. A larger
/// gain makes balancers overshoot, because their reports are up to a second old; see
/// `docs/decisions/steering.md`.
const WEIGHT_GAIN: f32 = 10.0;

/// Minimum time between the samples of a trend, in milliseconds: the age of load reports.
const TREND_INTERVAL_MS: u64 = 1_000;

/// Minimum weight of a member. It lets a few flows through, so that a member with a wrong
/// report does not starve.
const MIN_WEIGHT: f32 = 0.02;

/// Added to the cost of a member that may get no new flow, so that it sorts after all others.
pub const INELIGIBLE_COST: f32 = 1e9;

/// The load that a member reported. Reports are delayed, so they are used for new flows only.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Open flows.
    pub open: u32,
    /// Current maximum number of open flows. Zero means unknown.
    pub limit: u32,
    /// Running requests.
    pub busy: u16,
    /// Current maximum number of concurrent requests.
    pub slots: u16,
    /// Time at which the report was received, on the receiver's clock.
    pub at: Millis,
}

/// A member as routing sees it when it offers a flow: only the fields that it needs, so that
/// they are close together in memory.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// The cost of a new flow: the inverse of the member's weight, positive and finite.
    pub cost: f32,
    /// The address at which the agent receives envelopes.
    pub agent: SocketAddrV4,
    /// The failure domain that it runs in.
    pub domain: domain::Id,
}

/// The choices for new flows, in the order of the members.
///
/// The weight of a member is its relative share of new flows. It grows with the distance of
/// its open flows below the mean. Members that may get no new flow cost [`INELIGIBLE_COST`] more.
pub fn choices(members: &[Member], trend: &Trend) -> Vec<Choice> {
    let mean = eligible_mean(members);
    let step = mean / WEIGHT_GAIN + trend.growth();
    let choice = |member: &Member| {
        let penalty = if is_eligible(member) { 0.0 } else { INELIGIBLE_COST };
        let cost = 1.0 / weight(member, mean, step) + penalty;
        Choice { cost, agent: member.agent, domain: member.domain }
    };
    members.iter().map(choice).collect()
}

/// The change over time of a service's mean of open flows.
///
/// While the number of flows grows, differences between members come mostly from the age of
/// their reports. Weights overshoot if they correct more flows than arrive within that age.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Trend {
    /// Two means with the time of the newest report in each, older first, at least
    /// [`TREND_INTERVAL_MS`] apart. Both are the same initially.
    samples: [(Millis, f32); 2],
    /// The mean of the current reports.
    mean: f32,
}

impl Trend {
    /// The trend of members without earlier reports.
    pub fn new(members: &[Member]) -> Self {
        let mean = eligible_mean(members);
        Self { samples: [(newest_report(members), mean); 2], mean }
    }

    /// The trend after newer reports.
    pub fn next(&self, members: &[Member]) -> Self {
        let (mean, now) = (eligible_mean(members), newest_report(members));
        let [_, last] = self.samples;
        let due = now.since(last.0) >= TREND_INTERVAL_MS;
        Self { samples: if due { [last, (now, mean)] } else { self.samples }, mean }
    }

    /// Growth of the mean over the last one to two [`TREND_INTERVAL_MS`], in flows; never
    /// negative.
    fn growth(&self) -> f32 {
        let [first, last] = self.samples;
        if first.0 == last.0 { 0.0 } else { (self.mean - first.1).max(0.0) }
    }
}

/// The time of the newest report.
fn newest_report(members: &[Member]) -> Millis {
    members.iter().map(|member| member.load.at).max().unwrap_or_default()
}

/// The mean of the reported open flows of a service, in tenths of a flow.
///
/// Only active members count; `None` if there are none.
pub fn mean_active(members: &[Member]) -> Option<u32> {
    mean_where(members, |stage| stage == Stage::Active)
}

/// Like [`mean_active`], with cold members included.
pub fn mean_serving(members: &[Member]) -> Option<u32> {
    mean_where(members, |stage| matches!(stage, Stage::Active | Stage::Cold))
}

/// The mean over the members whose stage satisfies a condition.
fn mean_where(members: &[Member], is_counted: impl Fn(Stage) -> bool) -> Option<u32> {
    let counted = || members.iter().filter(|member| is_counted(member.stage));
    let open: u64 = counted().map(|member| u64::from(member.load.open)).sum();
    let tenths = (open * 10).checked_div(counted().count() as u64);
    tenths.map(|tenths| tenths as u32)
}

/// Whether a member may get new flows.
fn is_eligible(member: &Member) -> bool {
    let Load { open, limit, .. } = member.load;
    matches!(member.stage, Stage::Active | Stage::Cold) && (limit == 0 || open < limit)
}

/// The mean of the reported open flows of the members that may get new flows.
fn eligible_mean(members: &[Member]) -> f32 {
    let eligible = || members.iter().filter(|member| is_eligible(member));
    let open: u64 = eligible().map(|member| u64::from(member.load.open)).sum();
    open as f32 / eligible().count().max(1) as f32
}

/// The weight of a member in a service with this mean of open flows.
///
/// Each `step` flows below the mean add the share of a member at the mean. A cold member gets
/// at most one share, because its few slots could not serve the requests of all flows that it
/// lacks to the mean.
fn weight(member: &Member, mean: f32, step: f32) -> f32 {
    if step == 0.0 {
        return 1.0;
    }
    let shares_below = (mean - member.load.open as f32) / step;
    let max_weight = if member.stage == Stage::Cold { 1.0 } else { f32::MAX };
    (1.0 + shares_below).min(max_weight).max(MIN_WEIGHT)
}
