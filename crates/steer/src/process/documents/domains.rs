//! The failure domains that operators have taken out of service.

use lentilreach::Name;
use lentilreach::process::clock::Millis;

/// Failure domains that are out of service.
///
/// A store that comes back from an older copy of itself may not name a domain any more although
/// nobody has returned it to service. Its operators have been told that it is out, and write
/// that again. Until then it stays out, for a limited time: a domain that is needlessly out
/// costs capacity, while flows that are sent there may end with it or meet cold backend servers.
#[derive(Debug, Default)]
pub struct Domains {
    /// Those that the store names. Sorted.
    listed: Vec<Name>,
    /// Those that the store has named in an earlier era only, and since when it hasn't. Sorted
    /// by name; none is in `listed`.
    retained: Vec<(Name, Millis)>,
}

impl Domains {
    /// All of them, sorted.
    pub fn all(&self) -> Vec<Name> {
        let retained = self.retained.iter().map(|(domain, _)| domain);
        let mut all: Vec<_> = self.listed.iter().chain(retained).cloned().collect();
        all.sort();
        all
    }

    /// Adds a domain that the store names.
    pub fn insert(&mut self, domain: Name) {
        self.retained.retain(|(retained, _)| *retained != domain);
        if let Err(index) = self.listed.binary_search(&domain) {
            self.listed.insert(index, domain);
        }
    }

    /// Returns a domain to service, because its document was deleted.
    pub fn remove(&mut self, domain: &str) {
        self.listed.retain(|listed| **listed != *domain);
        self.retained.retain(|(retained, _)| **retained != *domain);
    }

    /// Forgets what the store has named, which is about to be replaced.
    pub fn clear(&mut self) {
        self.listed.clear();
    }

    /// Retains what the store has named, because it has come back from an older copy.
    pub fn retain_listed(&mut self, now: Millis) {
        let listed = std::mem::take(&mut self.listed);
        self.retained.extend(listed.into_iter().map(|domain| (domain, now)));
        self.retained.sort();
    }

    /// Whether a domain has been retained for longer than a time.
    pub fn is_overdue(&self, now: Millis, retention_ms: u64) -> bool {
        self.retained.iter().any(|(_, since)| now.since(*since) > retention_ms)
    }

    /// Returns domains to service that have been retained for longer than a time.
    pub fn expire(&mut self, now: Millis, retention_ms: u64) {
        self.retained.retain(|(_, since)| now.since(*since) <= retention_ms);
    }
}
