//! Shares of a backend server among callers of the same priority.
//!
//! Answers the load of a caller with many flows, or of one that retries at once, beside
//! callers with one request each. It is a form of start-time fair queueing: each caller has
//! a virtual time up to which it has used its share, which its jobs advance by their
//! expected cost, and the virtual time of the backend server advances by what it serves,
//! divided by the number of active callers. A caller that is ahead of it waits behind the
//! others of its priority.

use std::net::Ipv4Addr;

use lentilreach::process::clock::Millis;

/// Time after which a caller without new jobs is forgotten, in milliseconds.
const ACTIVE_MS: u64 = 2_000;

/// Maximum number of callers to keep track of. Others count as having used nothing.
const MAX_CALLERS: usize = 4_096;

/// Number of mean costs by which a caller may be ahead before its level rises. The jobs of
/// one level are ordered by time, so small differences don't matter.
const COSTS_PER_LEVEL: f64 = 4.0;

/// The highest level.
const MAX_LEVEL: u8 = 15;

/// How much of their share the callers of a backend server have used.
#[derive(Debug, Default, Clone)]
pub struct Shares {
    /// Active callers. Sorted by address, at most [`MAX_CALLERS`].
    callers: Vec<Caller>,
    /// Virtual time of the backend server, in milliseconds of work for each caller.
    virtual_ms: f64,
    /// When inactive callers were last removed.
    swept_at: Millis,
}

/// An active caller.
#[derive(Debug, Clone, Copy)]
struct Caller {
    /// Its address.
    address: Ipv4Addr,
    /// Virtual time up to which it has used its share.
    used_ms: f64,
    /// When its last job arrived.
    active_at: Millis,
}

impl Shares {
    /// Charges a caller for a job of an expected cost, in milliseconds. Returns the level
    /// of the job: 0 if the caller has not used more than its share.
    pub fn charge(&mut self, now: Millis, address: Ipv4Addr, cost_ms: f64) -> u8 {
        self.sweep(now);
        let found = self.callers.binary_search_by_key(&address, |caller| caller.address);
        let index = match found {
            Ok(index) => index,
            Err(_) if self.callers.len() >= MAX_CALLERS => return 0,
            Err(index) => {
                let used_ms = self.virtual_ms;
                let caller = Caller { address, used_ms, active_at: now };
                self.callers.insert(index, caller);
                index
            }
        };
        let caller = &mut self.callers[index];
        caller.active_at = now;
        caller.used_ms = caller.used_ms.max(self.virtual_ms);
        let level_ms = (cost_ms * COSTS_PER_LEVEL).max(1.0);
        let level = ((caller.used_ms - self.virtual_ms) / level_ms) as u8;
        // Keeps the time bounded after which a caller has its share again.
        let limit_ms = self.virtual_ms + level_ms * f64::from(MAX_LEVEL);
        caller.used_ms = (caller.used_ms + cost_ms).min(limit_ms);
        level.min(MAX_LEVEL)
    }

    /// Records that a job of an expected cost was given to the backend server.
    pub fn serve(&mut self, cost_ms: f64) {
        self.virtual_ms += cost_ms / self.callers.len().max(1) as f64;
    }

    /// Number of active callers.
    pub fn callers(&self) -> usize {
        self.callers.len()
    }

    /// Removes inactive callers, once in [`ACTIVE_MS`].
    fn sweep(&mut self, now: Millis) {
        if now.since(self.swept_at) < ACTIVE_MS {
            return;
        }
        self.swept_at = now;
        self.callers.retain(|caller| now.since(caller.active_at) < ACTIVE_MS);
    }
}
