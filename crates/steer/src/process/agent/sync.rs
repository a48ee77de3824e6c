//! Tracks which announcements agents have exchanged.
//!
//! A home node that has received all announcements of an agent knows every flow of that
//! agent that it is responsible for. A flow missing from its index is therefore not held
//! by that agent.

use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;

use crate::connection::state::Home;
use crate::request::message::{Announcement, Progress};

/// Minimum time after which an unconfirmed announcement counts as lost, in milliseconds.
/// Far above the round-trip time between two nodes.
const CONFIRM_MS: u64 = 500;

/// Announcements sent by this agent, by receiver.
#[derive(Debug, Default, Clone)]
pub(super) struct Sent {
    /// Sorted by address.
    receivers: Vec<Receiver>,
}

/// An agent that announcements were sent to.
#[derive(Debug, Clone)]
struct Receiver {
    /// The receiving incarnation.
    home: Home,
    /// Announcements sent to it.
    progress: Progress,
    /// Number of sent announcements when the receiver's progress was last checked.
    checked_count: u32,
    /// Time of that check.
    checked_at: Millis,
}

impl Sent {
    /// Counts an announcement to a home node. Returns the progress that includes it.
    pub fn count(&mut self, now: Millis, home: Home) -> Progress {
        let receiver = self.receiver(now, home);
        receiver.progress.count += 1;
        receiver.progress
    }

    /// Announcements sent to an incarnation of a node.
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

    /// Compares what a home node has received with what had been sent at the previous
    /// check. Returns whether an announcement was lost. In that case a new epoch starts,
    /// in which all flows must be announced again.
    pub fn detect_loss(&mut self, now: Millis, home: Home, received: Progress) -> bool {
        let receiver = self.receiver(now, home);
        let is_same_epoch = received.epoch == receiver.progress.epoch;
        let count = if is_same_epoch { received.count } else { 0 };
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

    /// The entry of a home node. Replaced if the node has a new incarnation.
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

/// Announcements received by this agent, by sender.
#[derive(Debug, Default, Clone)]
pub(super) struct Received {
    /// Sorted by address.
    senders: Vec<Sender>,
}

/// An agent that announcements were received from.
#[derive(Debug, Clone)]
struct Sender {
    /// Address of the agent.
    address: SocketAddrV4,
    /// Its incarnation.
    incarnation: u64,
    /// Announcements received from it.
    progress: Progress,
}

impl Received {
    /// Counts a received announcement that is addressed to this incarnation.
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
        // One that arrives twice doesn't make up for a lost one.
        let count = &mut self.senders[index].progress.count;
        if announcement.number == *count + 1 {
            *count += 1;
        }
    }

    /// Whether the last announcement from an address came from another incarnation.
    pub fn has_other(&self, from: SocketAddrV4, incarnation: u64) -> bool {
        let found = self.senders.binary_search_by_key(&from, |known| known.address);
        found.is_ok_and(|index| self.senders[index].incarnation != incarnation)
    }

    /// Announcements received from an incarnation of a node.
    pub fn progress(&self, from: SocketAddrV4, incarnation: u64) -> Progress {
        let found = self.senders.binary_search_by_key(&from, |known| known.address);
        let sender = found.ok().map(|index| &self.senders[index]);
        sender
            .filter(|known| known.incarnation == incarnation)
            .map(|known| known.progress)
            .unwrap_or_default()
    }
}
