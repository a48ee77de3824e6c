//! Which messages about flows agents have sent to each other.
//!
//! A home that received all that an agent sent to it knows every flow of that agent whose home
//! it is, so a flow that it does not know is not there.

use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;

use crate::connection::state::Home;
use crate::request::message::{Announcement, Progress};

/// Shortest time after which a message that was not confirmed counts as lost, in milliseconds.
/// Far above the way to the other node and back.
const CONFIRM_MS: u64 = 500;

/// What this agent has sent, by receiver.
#[derive(Debug, Default)]
pub(super) struct Sent {
    /// Sorted by address.
    receivers: Vec<Receiver>,
}

/// An agent that was told of flows.
#[derive(Debug)]
struct Receiver {
    /// Which incarnation of it.
    home: Home,
    /// What was sent to it.
    progress: Progress,
    /// The count when it was last compared with what the receiver confirms.
    checked_count: u32,
    /// When that was.
    checked_at: Millis,
}

impl Sent {
    /// Counts a message to a home; returns the epoch that it belongs to.
    pub fn count(&mut self, now: Millis, home: Home) -> u32 {
        let receiver = self.receiver(now, home);
        receiver.progress.count += 1;
        receiver.progress.epoch
    }

    /// What was sent to an incarnation of a node.
    pub fn progress(&self, home: Home) -> Progress {
        let found = self
            .receivers
            .binary_search_by_key(&home.address, |known| known.home.address);
        let receiver = found.ok().map(|index| &self.receivers[index]);
        receiver
            .filter(|known| known.home == home)
            .map(|known| known.progress)
            .unwrap_or_default()
    }

    /// Compares what a home has received with what was sent some time ago. Returns whether a
    /// message was lost: then all flows are to be told again, in a new epoch.
    pub fn is_lost(&mut self, now: Millis, home: Home, received: Progress) -> bool {
        let receiver = self.receiver(now, home);
        let is_same = received.epoch == receiver.progress.epoch;
        let count = if is_same { received.count } else { 0 };
        if now.since(receiver.checked_at) < CONFIRM_MS {
            return false;
        }
        let is_lost = count < receiver.checked_count;
        if is_lost {
            receiver.progress = Progress { epoch: receiver.progress.epoch + 1, count: 0 };
        }
        receiver.checked_count = receiver.progress.count;
        receiver.checked_at = now;
        is_lost
    }

    /// The entry of a home; a new one for each incarnation.
    fn receiver(&mut self, now: Millis, home: Home) -> &mut Receiver {
        let new = Receiver {
            home,
            progress: Progress::default(),
            checked_count: 0,
            checked_at: now,
        };
        let index = match self
            .receivers
            .binary_search_by_key(&home.address, |known| known.home.address)
        {
            Ok(index) if self.receivers[index].home == home => index,
            Ok(index) => {
                self.receivers[index] = new;
                index
            }
            Err(index) => {
                self.receivers.insert(index, new);
                index
            }
        };
        &mut self.receivers[index]
    }
}

/// What this agent has received, by sender.
#[derive(Debug, Default)]
pub(super) struct Received {
    /// Sorted by address.
    senders: Vec<Sender>,
}

/// An agent that has told this one of flows.
#[derive(Debug)]
struct Sender {
    /// Where it is.
    address: SocketAddrV4,
    /// Its incarnation.
    incarnation: u64,
    /// What was received from it.
    progress: Progress,
}

impl Received {
    /// Counts a message for this incarnation.
    pub fn count(&mut self, from: SocketAddrV4, announcement: &Announcement) {
        let progress = Progress { epoch: announcement.epoch, count: 0 };
        let new = Sender { address: from, incarnation: announcement.sender, progress };
        let index = match self.senders.binary_search_by_key(&from, |known| known.address)
        {
            Ok(index) => {
                let known = &self.senders[index];
                if known.incarnation != new.incarnation
                    || known.progress.epoch < announcement.epoch
                {
                    self.senders[index] = new;
                } else if known.progress.epoch > announcement.epoch {
                    return;
                }
                index
            }
            Err(index) => {
                self.senders.insert(index, new);
                index
            }
        };
        self.senders[index].progress.count += 1;
    }

    /// What was received from an incarnation of a node.
    pub fn progress(&self, from: SocketAddrV4, incarnation: u64) -> Progress {
        let found = self.senders.binary_search_by_key(&from, |known| known.address);
        let sender = found.ok().map(|index| &self.senders[index]);
        sender
            .filter(|known| known.incarnation == incarnation)
            .map(|known| known.progress)
            .unwrap_or_default()
    }
}
