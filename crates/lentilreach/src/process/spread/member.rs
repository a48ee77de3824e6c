//! What a node knows of another node.

use std::sync::Arc;

use crate::id::node;
use crate::process::clock::Millis;
use crate::process::spread::entry::{Attach, Load, Node, Pulse, Stage, Vital};

/// Heartbeats missing for this long, in milliseconds, make a node silent.
pub const SILENT_MS: u64 = 3_000;

/// Part of the silence period, in milliseconds, that is left for refutation after silence
/// was published.
pub const SUSPECT_MS: u64 = 400;

/// Time in milliseconds that a node whose balancers are all silent may take to attach to
/// others, and the news of it to spread.
const ORPHAN_MS: u64 = 5_000;

/// Silence in milliseconds after which a node's entries are removed.
const DEAD_MS: u64 = 120_000;

/// The same for a node that announced that it leaves.
const LEFT_MS: u64 = 30_000;

/// The same in an unreachable failure domain. Regions lose contact for an hour.
const UNREACHABLE_MS: u64 = 4 * 3_600_000;

/// Time in milliseconds that a removal is remembered, so that late entries do not revive the
/// node.
pub const KEEP_MS: u64 = 3_600_000;

/// Silences further apart than this, in milliseconds, are unrelated.
const FLAP_MS: u64 = 60_000;

/// What a node knows of another node.
#[derive(Debug, Clone)]
pub struct Member {
    /// The node.
    pub id: node::Id,
    /// Its announcement, unless it is unknown or removed.
    pub node: Option<Arc<Node>>,
    /// The balancers that it attaches to, unless unknown or removed.
    pub attach: Option<Attach>,
    /// The last change of its liveness; none if it was never silent.
    pub pulse: Option<Pulse>,
    /// Its last load report.
    pub load: Option<Load>,
    /// When the load report arrived.
    pub load_at: Millis,
    /// Its liveness as of the last review.
    pub status: Status,
    /// When the change in `pulse` took place.
    since: Millis,
    /// When silence takes effect.
    silent_from: Millis,
    /// Since when all balancers that it attaches to are silent.
    pub orphan: Option<Millis>,
    /// Silences in close succession.
    flaps: u8,
    /// When the last of them took effect.
    fell: Millis,
}

impl Member {
    /// A member of which nothing is known yet.
    pub fn new(id: node::Id) -> Self {
        Self {
            id,
            node: None,
            attach: None,
            pulse: None,
            load: None,
            load_at: Millis(0),
            status: Status::Alive,
            since: Millis(0),
            silent_from: Millis(0),
            orphan: None,
            flaps: 0,
            fell: Millis(0),
        }
    }

    /// Replaces the pulse. The caller has compared the versions.
    pub fn pulse(&mut self, now: Millis, pulse: Pulse) {
        let since = Millis(now.0.saturating_sub(pulse.age_ms));
        let fell = self.vital() == Vital::Alive && pulse.vital != Vital::Alive;
        if fell {
            // An old silence arrives after a partition or a pause, when a refutation is
            // likely to be on its way.
            let late = pulse.age_ms > SILENT_MS;
            let settled = if late { now.after(SUSPECT_MS) } else { now };
            self.silent_from = since.after(SUSPECT_MS).max(settled);
        }
        self.since = since;
        self.pulse = Some(pulse);
        if pulse.vital == Vital::Alive {
            self.orphan = None;
        }
    }

    /// Takes on a status; counts silences that took effect, not those refuted in time.
    pub fn turn(&mut self, now: Millis, status: Status) {
        if self.status == Status::Alive && self.vital() != Vital::Alive {
            let related = now.since(self.fell) < FLAP_MS;
            self.flaps = if related { self.flaps.saturating_add(1) } else { 1 };
            self.fell = now;
        }
        self.status = status;
    }

    /// The pulse with its present age.
    pub fn aged(&self, now: Millis) -> Option<Pulse> {
        self.pulse.map(|pulse| Pulse { age_ms: now.since(self.since), ..pulse })
    }

    /// What was last published of its liveness.
    pub fn vital(&self) -> Vital {
        self.pulse.map_or(Vital::Alive, |pulse| pulse.vital)
    }

    /// The heartbeat of the last change of its liveness.
    pub fn beat(&self) -> u64 {
        self.pulse.map_or(0, |pulse| pulse.beat)
    }

    /// Whether the member is to be treated as silent.
    pub fn is_silent(&self, now: Millis) -> bool {
        match self.vital() {
            Vital::Alive => self.is_orphan(now),
            Vital::Silent => now >= self.silent_from,
            Vital::Dead => true,
        }
    }

    /// Whether silence follows from the silence of its balancers.
    fn is_orphan(&self, now: Millis) -> bool {
        self.orphan.is_some_and(|since| now.since(since) >= ORPHAN_MS)
    }

    /// Whether the member has been silent for so long that its entries are removed.
    pub fn is_over(&self, now: Millis) -> bool {
        let since = match self.vital() {
            Vital::Silent => self.since,
            Vital::Alive => match self.orphan {
                Some(since) => since,
                None => return false,
            },
            Vital::Dead => return false,
        };
        let leaving = self.node.as_ref().is_some_and(|n| n.stage == Stage::Leaving);
        let limit = match self.status {
            Status::Unreachable => UNREACHABLE_MS,
            _ if leaving => LEFT_MS,
            _ => DEAD_MS,
        };
        now.since(since) >= limit
    }

    /// Whether its removal can be forgotten.
    pub fn is_forgotten(&self, now: Millis) -> bool {
        self.vital() == Vital::Dead && now.since(self.since) >= KEEP_MS
    }

    /// Milliseconds of steady heartbeats that end a silence.
    ///
    /// Zero after the first two silences, which a cut may cause on its way in and out. Doubles
    /// with each further one, so that a slow node is not thrown out and brought back
    /// repeatedly.
    pub fn hold_ms(&self) -> u64 {
        match self.flaps {
            0..=2 => 0,
            flaps => 1_000 << (flaps - 1).min(5),
        }
    }

    /// Whether silence began within the given time.
    pub fn fell_within(&self, now: Millis, ms: u64) -> bool {
        let from = if self.vital() == Vital::Alive {
            self.orphan.unwrap_or(self.since)
        } else {
            self.silent_from
        };
        now.since(from) <= ms
    }
}

/// A node's liveness.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Heard from.
    Alive,
    /// Not heard from: no new flows, established flows are still forwarded.
    Silent,
    /// Not heard from together with most of its failure domain: likely cut off, not dead.
    Unreachable,
}
