//! Paces the digest exchange and tells when a new node has the full state.

use std::net::SocketAddr;

use fastrand::Rng;

use crate::process::clock::Millis;
use crate::process::spread::digest::{Scope, WIDTH, holds_documents};
use crate::process::spread::message::Pull;
use crate::process::spread::state::State;

/// Parts that are asked for at the same time.
const WINDOW: usize = 4;

/// The same for a joining node, which asks many peers, two parts each.
const JOIN_WINDOW: usize = 16;

/// Ready nodes that a joining node remembers.
const HELPERS: usize = 16;

/// Time in milliseconds after which a response is no longer expected.
const TIMEOUT_MS: u64 = 1_000;

/// Least time between comparisons in milliseconds.
const PACE_MS: u64 = 1_000;

/// The same while the own state changes: pushes are likely to bring what is missing.
const BUSY_MS: u64 = 2_000;

/// Time without news in milliseconds after which the own state counts as settled.
const SETTLED_MS: u64 = 700;

/// A digest exchange in progress, and the progress of a new node.
#[derive(Debug)]
pub struct Repair {
    /// Where the sums came from.
    peer: Option<SocketAddr>,
    /// Number of parts of the digest.
    width: usize,
    /// Parts that differ and have not been asked for.
    pending: Vec<u16>,
    /// Parts that have been asked for.
    open: Vec<Open>,
    /// Places at which the state once contained that of a ready node.
    covered: Box<[bool; WIDTH]>,
    /// Ready nodes that responded, at most [`HELPERS`].
    helpers: Vec<SocketAddr>,
    /// When a comparison was last asked for.
    asked: Millis,
    /// When the own state last changed.
    news: Millis,
}

impl Repair {
    /// No exchange in progress.
    pub fn new() -> Self {
        Self {
            peer: None,
            width: WIDTH,
            pending: Vec::new(),
            open: Vec::new(),
            covered: Box::new([false; WIDTH]),
            helpers: Vec::new(),
            asked: Millis(0),
            news: Millis(0),
        }
    }

    /// Notes that the own state changed.
    pub fn changed(&mut self, now: Millis) {
        self.news = now;
    }

    /// Whether a comparison is due, given that a peer's digest differs or is unknown.
    /// An agent has few entries and compares them with few others.
    pub fn is_due(&self, now: Millis, leaf: bool) -> bool {
        let settled = leaf || now.since(self.news) >= SETTLED_MS;
        let pace = if settled { PACE_MS } else { BUSY_MS };
        self.is_idle() && now.since(self.asked) >= pace
    }

    /// Whether a new node should ask for a comparison.
    pub fn is_due_to_join(&self, now: Millis) -> bool {
        self.is_idle() && now.since(self.asked) >= TIMEOUT_MS / 2
    }

    /// Notes that a comparison was asked for.
    pub fn asked(&mut self, now: Millis) {
        self.asked = now;
    }

    /// Takes the sums of a peer. A node that is `joining` asks for what it has not covered;
    /// what changed since is repaired later.
    pub fn compare(
        &mut self,
        from: SocketAddr,
        state: &State,
        scope: &Scope,
        ready: bool,
        sums: &[u32],
        joining: bool,
    ) {
        let width = if sums.is_empty() { WIDTH } else { sums.len() };
        let own = if sums.is_empty() {
            Vec::new()
        } else {
            state.digest().narrow(scope, width)
        };
        self.peer = Some(from);
        self.width = width;
        self.pending.clear();
        let differs = |place: usize| sums.get(place % width) != own.get(place % width);
        for place in 0..WIDTH {
            if !differs(place) {
                self.covered[place] |= ready;
            }
        }
        let covered = |part: usize| (part..WIDTH).step_by(width).all(|p| self.covered[p]);
        let parts = (0..width).filter(|part| differs(*part));
        let wanted = parts.filter(|part| !(joining && covered(*part)));
        self.pending.extend(wanted.map(|part| part as u16));
    }

    /// Whether each part of the state once contained that of a ready node.
    pub fn is_covered(&self) -> bool {
        self.covered.iter().all(|covered| *covered)
    }

    /// Notes that a ready node responded.
    pub fn helped(&mut self, by: SocketAddr) {
        if self.helpers.len() < HELPERS && !self.helpers.contains(&by) {
            self.helpers.push(by);
        }
    }

    /// A ready node for a joining node to ask: one that responded before, or now and then
    /// `other`, so that more are found.
    pub fn helper(&self, other: Option<SocketAddr>, rng: &mut Rng) -> Option<SocketAddr> {
        let known = rng.choice(&self.helpers).copied();
        let explore = self.helpers.len() < HELPERS && rng.u8(..4) == 0;
        if explore { other.or(known) } else { known.or(other) }
    }

    /// Whether the next part to ask for holds documents.
    pub fn is_document_next(&self) -> bool {
        self.pending.iter().any(|part| holds_documents(*part))
    }

    /// Takes the next parts to ask for: the peer, the width of the digest, the parts.
    ///
    /// `peer` is asked if it is given, otherwise the one that sent the sums.
    pub fn next(
        &mut self,
        now: Millis,
        joining: bool,
        peer: Option<SocketAddr>,
        rng: &mut Rng,
    ) -> Option<(SocketAddr, u16, Vec<u16>)> {
        let (helpers, pending) = (&mut self.helpers, &mut self.pending);
        self.open.retain(|open| {
            let late = now.since(open.at) >= TIMEOUT_MS;
            if late && joining {
                helpers.retain(|helper| *helper != open.peer);
                pending.extend(&open.parts);
            }
            !late
        });
        let peer = peer.or(self.peer)?;
        let helpers = 2 * self.helpers.len();
        let window = if joining { helpers.clamp(2, JOIN_WINDOW) } else { WINDOW };
        if self.open.len() >= window || self.pending.is_empty() {
            return None;
        }
        // Documents first. At random for joining nodes, so that those that join together do
        // not ask for the same parts and soon know more peers to ask.
        let document = self.pending.iter().position(|part| holds_documents(*part));
        let document = document.filter(|_| !joining);
        let index = document.unwrap_or_else(|| rng.usize(..self.pending.len()));
        let mut parts = vec![self.pending.swap_remove(index)];
        if !joining {
            // Two nodes that serve differ in few entries, so that one response holds those
            // of several parts.
            let kind = holds_documents(parts[0]);
            let same = |part: &mut u16| holds_documents(*part) == kind;
            parts.extend(self.pending.extract_if(.., same).take(Pull::PARTS - 1));
        }
        let open = Open { parts: parts.clone(), peer, at: now, seen: 0, end: None };
        self.open.push(open);
        Some((peer, self.width as u16, parts))
    }

    /// Notes a message with entries of a part.
    ///
    /// The part is covered if a ready node sent it and no message of the response is missing.
    pub fn filled(&mut self, now: Millis, part: u16, turn: u8, ready: bool, last: bool) {
        let Some(index) =
            self.open.iter().position(|open| open.parts.first() == Some(&part))
        else {
            return;
        };
        let open = &mut self.open[index];
        open.at = now;
        open.seen |= 1_u32.checked_shl(turn.into()).unwrap_or(0);
        open.end = if last { Some(turn) } else { open.end };
        // Messages of a response may overtake each other.
        let whole = open.end.is_some_and(|end| open.seen.count_ones() > end.into());
        if !whole {
            return;
        }
        for part in self.open.swap_remove(index).parts.into_iter().filter(|_| ready) {
            let places = (usize::from(part)..WIDTH).step_by(self.width);
            places.for_each(|place| self.covered[place] = true);
        }
    }

    /// Whether no exchange is in progress.
    fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.open.is_empty()
    }
}

impl Default for Repair {
    fn default() -> Self {
        Self::new()
    }
}

/// Parts that have been asked for together.
#[derive(Debug)]
struct Open {
    /// The parts.
    parts: Vec<u16>,
    /// Who was asked.
    peer: SocketAddr,
    /// When it was asked for, or a message of the response last arrived.
    at: Millis,
    /// Bit `n` is set if message `n` of the response has arrived.
    seen: u32,
    /// Position of the last message, once that has arrived.
    end: Option<u8>,
}
