//! What a node knows of another node.

use std::sync::Arc;

use crate::id::node;
use crate::process::clock::Millis;
use crate::process::gossip::entry::{Attachment, Condition, Health, Load, Node, Stage};

/// Time without a heartbeat, in milliseconds, after which a node is silent.
pub const SILENT_MS: u64 = 3_000;

/// Part of the silence period, in milliseconds, that is left for a refutation after the silence
/// was published.
pub const SUSPECT_MS: u64 = 400;

/// Time in milliseconds that a node whose monitors are all silent has to choose others and to
/// publish them.
const ORPHAN_GRACE_MS: u64 = 5_000;

/// Silence in milliseconds after which a node's entries are removed.
const REMOVE_MS: u64 = 120_000;

/// Silence in milliseconds after which the entries of a leaving node are removed.
const REMOVE_LEAVING_MS: u64 = 30_000;

/// Silence in milliseconds after which the entries of a node in an unreachable failure domain
/// are removed. Regions may lose contact for an hour.
const REMOVE_UNREACHABLE_MS: u64 = 4 * 3_600_000;

/// Time in milliseconds for which the record of a removed node is kept, so that late entries
/// do not revive the node.
pub const TOMBSTONE_MS: u64 = 3_600_000;

/// Silences further apart than this, in milliseconds, do not count as flapping.
const FLAP_WINDOW_MS: u64 = 60_000;

/// What a node knows of another node.
#[derive(Debug, Clone)]
pub struct Member {
    /// The node.
    pub id: node::Id,
    /// Its announcement; `None` if unknown or removed.
    pub node: Option<Arc<Node>>,
    /// Its monitors; `None` if unknown or removed.
    pub attachment: Option<Attachment>,
    /// Its last health record; `None` if it was never silent.
    pub health: Option<Health>,
    /// Its last load report.
    pub load: Option<Load>,
    /// When the load report arrived.
    pub load_at: Millis,
    /// Its liveness as of the last
    /// [`State::update_statuses`](super::state::State::update_statuses).
    pub status: Status,
    /// When the change that `health` reports took place.
    health_since: Millis,
    /// When the published silence takes effect.
    silent_from: Millis,
    /// Since when all its monitors have been silent.
    pub orphaned: Option<Millis>,
    /// Number of silences in close succession.
    flaps: u8,
    /// When the last silence took effect.
    last_silence: Millis,
}

impl Member {
    /// Creates a member without any entries.
    pub fn new(id: node::Id) -> Self {
        Self {
            id,
            node: None,
            attachment: None,
            health: None,
            load: None,
            load_at: Millis(0),
            status: Status::Alive,
            health_since: Millis(0),
            silent_from: Millis(0),
            orphaned: None,
            flaps: 0,
            last_silence: Millis(0),
        }
    }

    /// Replaces the health record. The caller has compared the versions.
    pub fn set_health(&mut self, now: Millis, health: Health) {
        let since = Millis(now.0.saturating_sub(health.age_ms));
        let becomes_silent =
            self.condition() == Condition::Alive && health.condition != Condition::Alive;
        if becomes_silent {
            // A silence published long ago arrives after a partition or a pause, when a
            // refutation is likely to be on its way.
            let late = health.age_ms > SILENT_MS;
            let settled = if late { now.after(SUSPECT_MS) } else { now };
            self.silent_from = since.after(SUSPECT_MS).max(settled);
        }
        self.health_since = since;
        self.health = Some(health);
        if health.condition == Condition::Alive {
            self.orphaned = None;
        }
    }

    /// Sets the status. Counts silences that took effect, but not those refuted in time.
    pub fn set_status(&mut self, now: Millis, status: Status) {
        if self.status == Status::Alive && self.condition() != Condition::Alive {
            let related = now.since(self.last_silence) < FLAP_WINDOW_MS;
            self.flaps = if related { self.flaps.saturating_add(1) } else { 1 };
            self.last_silence = now;
        }
        self.status = status;
    }

    /// The health record with its current age.
    pub fn aged_health(&self, now: Millis) -> Option<Health> {
        self.health
            .map(|health| Health { age_ms: now.since(self.health_since), ..health })
    }

    /// The last published condition.
    pub fn condition(&self) -> Condition {
        self.health.map_or(Condition::Alive, |health| health.condition)
    }

    /// The heartbeat number in the last health record.
    pub fn sequence(&self) -> u64 {
        self.health.map_or(0, |health| health.sequence)
    }

    /// Whether the member counts as silent now.
    pub fn is_silent(&self, now: Millis) -> bool {
        match self.condition() {
            Condition::Alive => self.is_orphan(now),
            Condition::Silent => now >= self.silent_from,
            Condition::Dead => true,
        }
    }

    /// Whether the member counts as silent because all its monitors are.
    fn is_orphan(&self, now: Millis) -> bool {
        self.orphaned.is_some_and(|since| now.since(since) >= ORPHAN_GRACE_MS)
    }

    /// Whether the member has been silent for so long that its entries are to be removed.
    pub fn is_expired(&self, now: Millis) -> bool {
        let since = match self.condition() {
            Condition::Silent => self.health_since,
            Condition::Alive => match self.orphaned {
                Some(since) => since,
                None => return false,
            },
            Condition::Dead => return false,
        };
        let leaving = self.node.as_ref().is_some_and(|n| n.stage == Stage::Leaving);
        let limit = match self.status {
            Status::Unreachable => REMOVE_UNREACHABLE_MS,
            _ if leaving => REMOVE_LEAVING_MS,
            _ => REMOVE_MS,
        };
        now.since(since) >= limit
    }

    /// Whether the record of its removal can be dropped.
    pub fn is_forgettable(&self, now: Millis) -> bool {
        self.condition() == Condition::Dead
            && now.since(self.health_since) >= TOMBSTONE_MS
    }

    /// Milliseconds of steady heartbeats that are required to end a silence.
    ///
    /// Zero after the first two silences: the start and the end of a partition may cause one
    /// each. Doubles with each further silence, so that a slow node does not flap.
    pub fn recovery_ms(&self) -> u64 {
        match self.flaps {
            0..=2 => 0,
            flaps => 1_000 << (flaps - 1).min(5),
        }
    }

    /// Whether the silence began within the last `ms` milliseconds.
    pub fn went_silent_within(&self, now: Millis, ms: u64) -> bool {
        let from = if self.condition() == Condition::Alive {
            self.orphaned.unwrap_or(self.health_since)
        } else {
            self.silent_from
        };
        now.since(from) <= ms
    }
}

/// A node's liveness.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Heartbeats arrive.
    Alive,
    /// No heartbeats: gets no new flows, established flows are still forwarded.
    Silent,
    /// No heartbeats from it and most of its failure domain: likely partitioned, not dead.
    Unreachable,
}
