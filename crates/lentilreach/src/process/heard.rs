//! The balancers that an agent has heard from, to return datagrams through.

use std::net::SocketAddr;

use crate::process::clock::Millis;

/// A balancer heard within this time is taken to be alive, in milliseconds.
///
/// Under traffic every balancer is heard many times within it, since the fabric sprays.
const FRESH_MS: u64 = 300;

/// The same for an idle agent.
const STALE_MS: u64 = 3_000;

/// Balancers remembered at most. More do not spread the load better.
const CAPACITY: usize = 32;

/// Balancers by address with the time each was last heard.
#[derive(Debug, Default)]
pub struct Heard {
    /// Sorted by address, without duplicates, at most [`CAPACITY`].
    balancers: Vec<(SocketAddr, Millis)>,
}

impl Heard {
    /// Whether noting the balancer now would change nothing that matters.
    pub fn is_fresh(&self, now: Millis, balancer: SocketAddr) -> bool {
        let found = self.balancers.binary_search_by_key(&balancer, |(a, _)| *a);
        found.is_ok_and(|i| now.since(self.balancers[i].1) < FRESH_MS / 4)
    }

    /// Notes that a balancer was heard.
    pub fn note(&mut self, now: Millis, balancer: SocketAddr) {
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
    /// Any of those heard lately, so that a datagram sent again takes another way; if none
    /// was, the last one heard.
    pub fn choose(&self, now: Millis, salt: u64) -> Option<SocketAddr> {
        let within = |limit: u64| {
            self.balancers.iter().filter(move |(_, at)| now.since(*at) < limit)
        };
        for limit in [FRESH_MS, STALE_MS] {
            let count = within(limit).count();
            if count > 0 {
                return within(limit).nth(salt as usize % count).map(|(a, _)| *a);
            }
        }
        self.balancers.iter().max_by_key(|(_, at)| *at).map(|(address, _)| *address)
    }

    /// Drops the balancer that was silent longest, if there are too many.
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
