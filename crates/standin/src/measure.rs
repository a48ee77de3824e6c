//! Measures gossip at scale, in virtual time.

mod fleet;
mod report;
mod setup;

use serde::Serialize;

use fleet::Fleet;

/// Number of failure domains at the expected scale. Small fleets have fewer.
const DOMAINS: usize = 10;

/// What to measure.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of balancers.
    pub nodes: usize,
    /// Number of targets, each with an agent.
    pub targets: usize,
    /// Percentage of datagrams that are lost.
    pub loss_percent: f64,
    /// Duration of the measurement in virtual time, in seconds.
    pub seconds: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// What happens during the measurement.
    pub plan: Plan,
}

/// What happens during a measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// Every ten seconds, the configuration changes and all relays read it from the store.
    Steady,
    /// Like `Steady`, but the store becomes unavailable after one relay has read the change.
    StoreOutage,
    /// One third of the balancers restart at the beginning.
    Restart,
    /// One third of the failure domains is partitioned off for a third of the time.
    Partition,
}

/// Results of a measurement. Values that were not measured are absent.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub struct Report {
    /// Number of balancers.
    pub nodes: usize,
    /// Number of targets.
    pub targets: usize,
    /// Percentage of datagrams that were lost.
    pub loss_percent: f64,
    /// Duration of the measurement in virtual time, in seconds.
    pub seconds: u64,
    /// The seed.
    pub seed: u64,
    /// The plan.
    pub plan: &'static str,
    /// Maximum bytes that a balancer sent in one second. Only sent bytes count, as in the
    /// traffic budget: each is received once, so counting both would double the fleet's total.
    pub bytes_per_s_per_node_max: u64,
    /// Mean bytes per second that a balancer sent.
    pub bytes_per_s_per_node_mean: f64,
    /// Maximum bytes that a balancer sent and received in one second.
    pub both_ways_bytes_per_s_max: u64,
    /// Mean bytes per second that a balancer sent and received.
    pub both_ways_bytes_per_s_mean: f64,
    /// Maximum bytes that an agent sent and received in one second.
    pub agent_bytes_per_s_max: u64,
    /// Mean bytes per second that an agent sent and received.
    pub agent_bytes_per_s_mean: f64,
    /// Mean datagrams per second that a balancer sent and received.
    pub datagrams_per_s_per_node: f64,
    /// Median time until a change was in force at an affected node, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_force_ms_p50: Option<u64>,
    /// 99th percentile of that time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_force_ms_p99: Option<u64>,
    /// Maximum of that time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_force_ms_max: Option<u64>,
    /// Number of pairs of a change and an affected node that had not received it at the end.
    pub in_force_missing: usize,
    /// Time until all restarted balancers were ready, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ready_ms_max: Option<u64>,
    /// Number of restarted balancers that were not ready at the end.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ready_missing: Option<usize>,
    /// Time from the restart or the end of the partition until balancers saw 99% of the
    /// running nodes as alive, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub most_alive_ms: Option<u64>,
    /// Time until all balancers saw all running nodes as alive.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub all_alive_ms: Option<u64>,
    /// Time until all balancers had the same state.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub equal_ms: Option<u64>,
    /// Number of pairs of a balancer and a running node that it did not see as alive at the
    /// end.
    pub not_alive_at_end: usize,
    /// Resident memory of a balancer's state in bytes, excluding the program itself.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub resident_bytes_per_node: Option<u64>,
    /// Mean bytes per second that a balancer sent, by message kind.
    pub sent_by_kind: Vec<(&'static str, f64)>,
    /// Fraction of a CPU core used by a balancer's protocol core, codec and sealing, excluding
    /// system calls.
    pub cpu_share_per_node: f64,
}

impl Settings {
    /// Number of failure domains, each with at least three balancers.
    fn domains(&self) -> usize {
        (self.nodes / 3).clamp(1, DOMAINS)
    }
}

/// Runs the measurement.
pub fn run(settings: &Settings) -> Report {
    let mut fleet = Fleet::new(settings);
    fleet.warm_up();
    fleet.run();
    fleet.report()
}

impl Plan {
    /// All plans.
    pub const ALL: [Self; 4] =
        [Self::Steady, Self::StoreOutage, Self::Restart, Self::Partition];

    /// The name of the plan.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::StoreOutage => "store-away",
            Self::Restart => "restart",
            Self::Partition => "partition",
        }
    }
}
