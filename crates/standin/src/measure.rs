//! Measures the exchange of state at scale, in virtual time.

mod fleet;
mod report;
mod setup;

use serde::Serialize;

use fleet::Fleet;

/// Failure domains at the expected scale; fewer for small fleets.
const DOMAINS: usize = 10;

/// What to measure.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of balancers.
    pub nodes: usize,
    /// Number of targets, each with an agent.
    pub targets: usize,
    /// Share of datagrams that are lost, in percent.
    pub loss_percent: f64,
    /// Virtual time that is measured, in seconds.
    pub seconds: u64,
    /// Sets all random choices.
    pub seed: u64,
    /// What happens meanwhile.
    pub plan: Plan,
}

/// What happens while it is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// A configuration change every ten seconds, which all relays read from the store.
    Steady,
    /// The same, but the store goes away after one relay has read the change.
    StoreAway,
    /// One third of the balancers restart at the beginning.
    Restart,
    /// One third of the failure domains are cut off for a third of the time.
    Partition,
}

/// What was measured. A field that was not measured is absent.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub struct Report {
    /// Number of balancers.
    pub nodes: usize,
    /// Number of targets.
    pub targets: usize,
    /// Share of datagrams that were lost, in percent.
    pub loss_percent: f64,
    /// Measured virtual time in seconds.
    pub seconds: u64,
    /// The seed.
    pub seed: u64,
    /// The plan.
    pub plan: &'static str,
    /// The most bytes that a balancer sent in one second. What is sent is what the budget
    /// limits; each byte sent is received once, so the fleet's total is counted once.
    pub bytes_per_s_per_node_max: u64,
    /// Bytes that a balancer sent in a second, on average.
    pub bytes_per_s_per_node_mean: f64,
    /// The most bytes that a balancer sent and received in one second.
    pub both_ways_bytes_per_s_max: u64,
    /// Bytes that a balancer sent and received in a second, on average.
    pub both_ways_bytes_per_s_mean: f64,
    /// The most bytes that an agent sent and received in one second.
    pub agent_bytes_per_s_max: u64,
    /// Bytes that an agent sent and received in a second, on average.
    pub agent_bytes_per_s_mean: f64,
    /// Datagrams that a balancer sent and received in a second, on average.
    pub datagrams_per_s_per_node: f64,
    /// Time until a change was in force at a node that needs it, median, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_force_ms_p50: Option<u64>,
    /// The same, 99th percentile.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_force_ms_p99: Option<u64>,
    /// The same, last node.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_force_ms_max: Option<u64>,
    /// Nodes that did not have a change by the end, over all changes.
    pub in_force_missing: usize,
    /// Time until the last restarted balancer was ready, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ready_ms_max: Option<u64>,
    /// Restarted balancers that were not ready by the end.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ready_missing: Option<usize>,
    /// Time from the restart or the end of the partition until all balancers saw 99% of the
    /// running nodes alive, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub most_alive_ms: Option<u64>,
    /// The same until all balancers saw all running nodes alive.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub all_alive_ms: Option<u64>,
    /// The same until all balancers had equal state.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub equal_ms: Option<u64>,
    /// Pairs of a balancer and a running node that it wrongly saw as not alive at the end.
    pub not_alive_at_end: usize,
    /// Resident memory of a balancer's state in bytes, without that of the program.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub resident_bytes_per_node: Option<u64>,
    /// Bytes that a balancer sent in a second, on average, by kind of message.
    pub sent_by_kind: Vec<(&'static str, f64)>,
    /// Share of a core that a balancer's decisions, codec and seal take. Without the
    /// system's part of sending and receiving.
    pub cpu_share_per_node: f64,
}

impl Settings {
    /// Number of failure domains, each with at least three balancers.
    fn domains(&self) -> usize {
        (self.nodes / 3).clamp(1, DOMAINS)
    }
}

/// Runs the measurement.
pub fn control(settings: &Settings) -> Report {
    let mut fleet = Fleet::new(settings);
    fleet.settle();
    fleet.run();
    fleet.report()
}

impl Plan {
    /// All plans.
    pub const ALL: [Self; 4] =
        [Self::Steady, Self::StoreAway, Self::Restart, Self::Partition];

    /// The name of the plan.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::StoreAway => "store-away",
            Self::Restart => "restart",
            Self::Partition => "partition",
        }
    }
}
