//! The balancers that an agent recently received datagrams from, to return datagrams through.

use std::net::SocketAddr;

use crate::process::clock::Millis;

/// Time in milliseconds for which a balancer counts as alive after a datagram from it.
///
/// Under traffic, an agent receives many datagrams from every balancer in this time, since the
/// fabric sprays packets over all balancers.
const RECENT_MS: u64 = 300;

/// Time in milliseconds for which a balancer counts as alive at an idle agent.
const IDLE_RECENT_MS: u64 = 3_000;

/// Number of balancers that an agent tries after a longer silence: those heard last.
///
/// Some of them may have stopped since, and a retransmission must be able to reach another one.
const IDLE_CHOICES: usize = 4;

/// Most balancers that are remembered. More do not spread the load better.
const CAPACITY: usize = 32;

/// Balancers by address, with the time of the last datagram from each.
#[derive(Debug, Default)]
pub struct RecentBalancers {
    /// Sorted by address, without duplicates, at most [`CAPACITY`].
    balancers: Vec<(SocketAddr, Millis)>,
}

impl RecentBalancers {
    /// Whether the last datagram from the balancer is so recent that [`Self::record`] can be
    /// skipped.
    pub fn is_recent(&self, now: Millis, balancer: SocketAddr) -> bool {
        let found = self.balancers.binary_search_by_key(&balancer, |(a, _)| *a);
        found.is_ok_and(|i| now.since(self.balancers[i].1) < RECENT_MS / 4)
    }

    /// Records a datagram from a balancer.
    pub fn record(&mut self, now: Millis, balancer: SocketAddr) {
        match self.balancers.binary_search_by_key(&balancer, |(a, _)| *a) {
            Ok(at) => self.balancers[at].1 = now,
            Err(at) => {
                self.balancers.insert(at, (balancer, now));
                self.evict();
            }
        }
    }

    /// Chooses a balancer for a datagram; `salt` is a random number.
    ///
    /// Chooses among all recent balancers, so that a retransmitted datagram takes another
    /// path. If there are none, chooses among the [`IDLE_CHOICES`] heard last: silence since
    /// then says nothing about which of them are up.
    pub fn choose(&self, now: Millis, salt: u64) -> Option<SocketAddr> {
        let within = |limit: u64| {
            self.balancers.iter().filter(move |(_, at)| now.since(*at) < limit)
        };
        for limit in [RECENT_MS, IDLE_RECENT_MS] {
            let count = within(limit).count();
            if count > 0 {
                return within(limit).nth(salt as usize % count).map(|(a, _)| *a);
            }
        }
        let mut latest = self.balancers.clone();
        latest.sort_unstable_by_key(|(_, at)| std::cmp::Reverse(*at));
        latest.truncate(IDLE_CHOICES);
        let index = (salt as usize).checked_rem(latest.len())?;
        Some(latest[index].0)
    }

    /// Drops the balancer with the oldest datagram if there are too many.
    fn evict(&mut self) {
        if self.balancers.len() <= CAPACITY {
            return;
        }
        let oldest = self.balancers.iter().enumerate().min_by_key(|(_, (_, at))| *at);
        if let Some((at, _)) = oldest {
            self.balancers.remove(at);
        }
    }
}
