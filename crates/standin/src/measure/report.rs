//! Results of a measurement.

use lentilreach::process::gossip::entry::{Document, Entry};

use super::Report;
use super::fleet::Fleet;

impl Fleet<'_> {
    /// Creates the report.
    pub(super) fn report(&self) -> Report {
        let settings = self.settings;
        let (mut times, missing) = self.in_force();
        times.sort_unstable();
        let percentile = |share: f64| {
            let last = times.len().checked_sub(1)?;
            times.get((last as f64 * share).ceil() as usize).copied()
        };
        let balancers = self.aggregate(&self.balancers);
        let agents = self.aggregate(&self.agents);
        let ready: Vec<Option<u64>> = self
            .restarted
            .iter()
            .map(|(index, since)| Some(self.network.ready_ms(*index)? - since))
            .collect();
        let restarts = !ready.is_empty();
        Report {
            nodes: settings.nodes,
            targets: settings.targets,
            loss_percent: settings.loss_percent,
            seconds: settings.seconds,
            seed: settings.seed,
            plan: settings.plan.as_str(),
            bytes_per_s_per_node_max: balancers.max_sent_per_s,
            bytes_per_s_per_node_mean: balancers.sent,
            both_ways_bytes_per_s_max: balancers.max_bytes_per_s,
            both_ways_bytes_per_s_mean: balancers.bytes,
            agent_bytes_per_s_max: agents.max_bytes_per_s,
            agent_bytes_per_s_mean: agents.bytes,
            datagrams_per_s_per_node: balancers.datagrams,
            in_force_ms_p50: percentile(0.5),
            in_force_ms_p99: percentile(0.99),
            in_force_ms_max: percentile(1.0),
            in_force_missing: missing,
            ready_ms_max: ready.iter().flatten().max().copied(),
            ready_missing: restarts.then(|| ready.iter().filter(|r| r.is_none()).count()),
            most_alive_ms: self.recovered[0],
            all_alive_ms: self.recovered[1],
            equal_ms: self.recovered[2],
            not_alive_at_end: self.not_alive(),
            resident_bytes_per_node: self.resident_bytes,
            sent_by_kind: self.sent_by_kind(),
            cpu_share_per_node: balancers.cpu,
        }
    }

    /// Times until changes were in force, and the number of missing ones.
    fn in_force(&self) -> (Vec<u64>, usize) {
        let mut times = Vec::new();
        for change in &self.changes {
            let arrived = self.network.log.iter().filter(|(_, node, entry)| {
                let is_it = |d: &Document| d.revision == change.revision;
                matches!(entry, Entry::Document(d) if is_it(d))
                    && change.nodes.binary_search(node).is_ok()
            });
            times.extend(arrived.map(|(at_ms, _, _)| at_ms - change.at_ms));
        }
        let expected: usize = self.changes.iter().map(|change| change.nodes.len()).sum();
        let missing = expected.saturating_sub(times.len());
        (times, missing)
    }

    /// Mean bytes per second that a balancer sent, by message kind.
    fn sent_by_kind(&self) -> Vec<(&'static str, f64)> {
        let mut sent_by_kind: Vec<(&'static str, f64)> = Vec::new();
        let node_seconds = self.balancers.len() as f64 * self.settings.seconds as f64;
        for index in &self.balancers {
            for (kind, bytes, _) in &self.network.traffic(*index).by_kind {
                let share = *bytes as f64 / node_seconds;
                match sent_by_kind.binary_search_by_key(kind, |(kind, _)| *kind) {
                    Ok(found) => sent_by_kind[found].1 += share,
                    Err(found) => sent_by_kind.insert(found, (*kind, share)),
                }
            }
        }
        sent_by_kind
    }

    /// Aggregates traffic counters over nodes.
    fn aggregate(&self, nodes: &[usize]) -> Aggregate {
        let traffic = nodes.iter().map(|index| self.network.traffic(*index));
        let node_seconds = nodes.len().max(1) as f64 * self.settings.seconds as f64;
        Aggregate {
            max_sent_per_s: traffic
                .clone()
                .map(|t| t.max_sent_bytes_per_s)
                .max()
                .unwrap_or(0),
            sent: traffic.clone().map(|t| t.sent).sum::<u64>() as f64 / node_seconds,
            max_bytes_per_s: traffic
                .clone()
                .map(|t| t.max_bytes_per_s)
                .max()
                .unwrap_or(0),
            bytes: traffic.clone().map(|t| t.bytes).sum::<u64>() as f64 / node_seconds,
            datagrams: traffic.clone().map(|t| t.datagrams).sum::<u64>() as f64
                / node_seconds,
            cpu: traffic.map(|t| t.cpu_time.as_secs_f64()).sum::<f64>() / node_seconds,
        }
    }
}

/// Traffic counters over nodes: maxima, and means per node and second.
struct Aggregate {
    /// Maximum bytes that a node sent in one second.
    max_sent_per_s: u64,
    /// Mean bytes sent.
    sent: f64,
    /// Maximum bytes that a node sent and received in one second.
    max_bytes_per_s: u64,
    /// Mean bytes sent and received.
    bytes: f64,
    /// Mean datagrams sent and received.
    datagrams: f64,
    /// Fraction of a CPU core.
    cpu: f64,
}
