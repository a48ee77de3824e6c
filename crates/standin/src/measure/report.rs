//! Figures of a measurement.

use lentilreach::process::spread::entry::{Document, Entry};

use super::Report;
use super::fleet::Fleet;

impl Fleet<'_> {
    /// Puts the figures together.
    pub(super) fn report(&self) -> Report {
        let settings = self.settings;
        let (mut times, missing) = self.in_force();
        times.sort_unstable();
        let at = |share: f64| {
            let last = times.len().checked_sub(1)?;
            times.get((last as f64 * share).ceil() as usize).copied()
        };
        let balancers = self.sum(&self.balancers);
        let agents = self.sum(&self.agents);
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
            both_ways_bytes_per_s_max: balancers.max_per_s,
            both_ways_bytes_per_s_mean: balancers.bytes,
            agent_bytes_per_s_max: agents.max_per_s,
            agent_bytes_per_s_mean: agents.bytes,
            datagrams_per_s_per_node: balancers.datagrams,
            in_force_ms_p50: at(0.5),
            in_force_ms_p99: at(0.99),
            in_force_ms_max: at(1.0),
            in_force_missing: missing,
            ready_ms_max: ready.iter().flatten().max().copied(),
            ready_missing: restarts.then(|| ready.iter().filter(|r| r.is_none()).count()),
            most_alive_ms: self.recovered[0],
            all_alive_ms: self.recovered[1],
            equal_ms: self.recovered[2],
            not_alive_at_end: self.not_alive(),
            resident_bytes_per_node: self.base,
            sent_by_kind: self.kinds(),
            cpu_share_per_node: balancers.cpu,
        }
    }

    /// Times until changes were in force, and how many nodes lack them.
    fn in_force(&self) -> (Vec<u64>, usize) {
        let mut times = Vec::new();
        for change in &self.changes {
            let arrived = self.network.log.iter().filter(|(_, node, entry)| {
                let is_it = |d: &Document| d.revision == change.revision;
                matches!(entry, Entry::Document(d) if is_it(d))
                    && change.nodes.binary_search(node).is_ok()
            });
            times.extend(arrived.map(|(at, _, _)| at - change.at_ms));
        }
        let expected: usize = self.changes.iter().map(|change| change.nodes.len()).sum();
        let missing = expected.saturating_sub(times.len());
        (times, missing)
    }

    /// Bytes that a balancer sent in a second by kind of message.
    fn kinds(&self) -> Vec<(&'static str, f64)> {
        let mut kinds: Vec<(&'static str, f64)> = Vec::new();
        let per = self.balancers.len() as f64 * self.settings.seconds as f64;
        for index in &self.balancers {
            for (kind, bytes, _) in &self.network.traffic(*index).by_kind {
                let share = *bytes as f64 / per;
                match kinds.binary_search_by_key(kind, |(kind, _)| *kind) {
                    Ok(found) => kinds[found].1 += share,
                    Err(found) => kinds.insert(found, (*kind, share)),
                }
            }
        }
        kinds
    }

    /// Sums over nodes of one kind.
    fn sum(&self, nodes: &[usize]) -> Sum {
        let traffic = nodes.iter().map(|index| self.network.traffic(*index));
        let per = nodes.len().max(1) as f64 * self.settings.seconds as f64;
        Sum {
            max_sent_per_s: traffic.clone().map(|t| t.most_sent).max().unwrap_or(0),
            sent: traffic.clone().map(|t| t.sent).sum::<u64>() as f64 / per,
            max_per_s: traffic.clone().map(|t| t.max_per_s).max().unwrap_or(0),
            bytes: traffic.clone().map(|t| t.bytes).sum::<u64>() as f64 / per,
            datagrams: traffic.clone().map(|t| t.datagrams).sum::<u64>() as f64 / per,
            cpu: traffic.map(|t| t.cpu_time.as_secs_f64()).sum::<f64>() / per,
        }
    }
}

/// Sums over nodes of one kind, per node and second but for the maximum.
struct Sum {
    /// The most bytes sent in one second at one node.
    max_sent_per_s: u64,
    /// Bytes sent.
    sent: f64,
    /// The most bytes in one second at one node, both ways.
    max_per_s: u64,
    /// Bytes, both ways.
    bytes: f64,
    /// Datagrams.
    datagrams: f64,
    /// Share of a core.
    cpu: f64,
}
