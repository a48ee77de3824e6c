//! Which messages about flows agents have sent to each other.
//!
//! A home that received all that an agent sent to it knows every flow of that agent whose home
//! it is, so a flow that it does not know is not there.

use std::net::SocketAddrV4;

use lentilreach::process::clock::Millis;

use crate::connection::held::Home;
use crate::request::message::{Taken, Tally};

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
    tally: Tally,
    /// The count when it was last compared with what the receiver confirms.
    compared: u32,
    /// When that was.
    compared_at: Millis,
}

impl Sent {
    /// Counts a message to a home; returns the epoch that it belongs to.
    pub fn count(&mut self, now: Millis, home: Home) -> u32 {
        let receiver = self.receiver(now, home);
        receiver.tally.count += 1;
        receiver.tally.epoch
    }

    /// What was sent to an incarnation of a node.
    pub fn tally(&self, home: Home) -> Tally {
        let found = self
            .receivers
            .binary_search_by_key(&home.address, |known| known.home.address);
        let receiver = found.ok().map(|place| &self.receivers[place]);
        receiver
            .filter(|known| known.home == home)
            .map(|known| known.tally)
            .unwrap_or_default()
    }

    /// Compares what a home has received with what was sent some time ago. Returns whether a
    /// message was lost: then all flows are to be told again, in a new epoch.
    pub fn is_lost(&mut self, now: Millis, home: Home, received: Tally) -> bool {
        let receiver = self.receiver(now, home);
        let is_same = received.epoch == receiver.tally.epoch;
        let count = if is_same { received.count } else { 0 };
        if now.since(receiver.compared_at) < CONFIRM_MS {
            return false;
        }
        let is_lost = count < receiver.compared;
        if is_lost {
            receiver.tally = Tally { epoch: receiver.tally.epoch + 1, count: 0 };
        }
        receiver.compared = receiver.tally.count;
        receiver.compared_at = now;
        is_lost
    }

    /// The entry of a home; a new one for each incarnation.
    fn receiver(&mut self, now: Millis, home: Home) -> &mut Receiver {
        let new =
            Receiver { home, tally: Tally::default(), compared: 0, compared_at: now };
        let place = match self
            .receivers
            .binary_search_by_key(&home.address, |known| known.home.address)
        {
            Ok(place) if self.receivers[place].home == home => place,
            Ok(place) => {
                self.receivers[place] = new;
                place
            }
            Err(place) => {
                self.receivers.insert(place, new);
                place
            }
        };
        &mut self.receivers[place]
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
    node: u64,
    /// What was received from it.
    tally: Tally,
}

impl Received {
    /// Counts a message for this incarnation.
    pub fn count(&mut self, from: SocketAddrV4, taken: &Taken) {
        let tally = Tally { epoch: taken.epoch, count: 0 };
        let new = Sender { address: from, node: taken.sender, tally };
        let place = match self.senders.binary_search_by_key(&from, |known| known.address)
        {
            Ok(place) => {
                let known = &self.senders[place];
                if known.node != new.node || known.tally.epoch < taken.epoch {
                    self.senders[place] = new;
                } else if known.tally.epoch > taken.epoch {
                    return;
                }
                place
            }
            Err(place) => {
                self.senders.insert(place, new);
                place
            }
        };
        self.senders[place].tally.count += 1;
    }

    /// What was received from an incarnation of a node.
    pub fn tally(&self, from: SocketAddrV4, node: u64) -> Tally {
        let found = self.senders.binary_search_by_key(&from, |known| known.address);
        let sender = found.ok().map(|place| &self.senders[place]);
        sender
            .filter(|known| known.node == node)
            .map(|known| known.tally)
            .unwrap_or_default()
    }
}
