//! State machine that acquires and keeps a relay slot: takes events, returns the next store
//! call.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::process::event::Kind;
use crate::process::name::Name;
use crate::process::relay::SLOTS;
use crate::process::store::backoff::Backoff;
use crate::process::store::{Error, Lease, Range, Txn, TxnResult};
use crate::version::config::key;

/// Time to live of a lease. Leaves room for two failed keep-alives.
pub const TTL: Duration = Duration::from_secs(9);

/// Shortest interval between two keep-alives in milliseconds.
const KEEP_ALIVE_MS: u64 = 3_000;

/// Longest random addition to [`KEEP_ALIVE_MS`], in milliseconds.
const KEEP_ALIVE_JITTER_MS: u64 = 500;

/// Mean interval in milliseconds between reads of the slots, over all balancers of a failure
/// domain together.
///
/// The holder of the other slot relays meanwhile, so a lost relay need not be replaced at once.
pub const SCAN_INTERVAL_MS: u64 = 5_000;

/// Longest delay of the first read in milliseconds. Without it, balancers that start together
/// would all see the slots free and claim them.
const START_JITTER_MS: u64 = 200;

/// First and longest delay after a failed call in milliseconds.
const FAILURE_BACKOFF_MS: (u64, u64) = (200, 10_000);

/// First and longest delay between reads of the slots while a balancer lacks the full state, in
/// milliseconds. It needs the address of a peer, which the slots hold.
const UNREADY_BACKOFF_MS: (u64, u64) = (2_000, 60_000);

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The process started, or the wait is over.
    Due,
    /// The slots of all failure domains were read.
    SlotsRead(Range),
    /// A lease was created.
    Granted(Lease),
    /// The transaction was committed, or its condition failed.
    Written(TxnResult),
    /// The lease was extended.
    KeptAlive,
    /// The lease was revoked.
    Revoked,
    /// A call failed.
    Failed(Error),
}

/// The next call to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Wait for this many milliseconds.
    Wait(u64),
    /// Read the slots of all failure domains.
    ReadSlots,
    /// Create a lease of [`TTL`].
    CreateLease,
    /// Commit this transaction, which writes the slot.
    WriteSlot(Txn),
    /// Extend the lease.
    KeepAlive(Lease),
    /// Revoke the lease.
    Revoke(Lease),
}

/// What gossip knows of the balancers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fleet {
    /// Live balancers in the own failure domain, including this one.
    pub balancers: usize,
    /// Whether this process has the full state.
    pub ready: bool,
}

/// The relay slot of one balancer: claimed, held or not.
#[derive(Debug)]
pub struct Core {
    /// The failure domain.
    domain: Name,
    /// The value written to the slot. Unique to the process.
    value: Bytes,
    /// Progress towards a slot.
    state: State,
    /// Whether the last call failed because the store was unavailable.
    store_unavailable: bool,
    /// Delays after failed calls.
    failure_backoff: Backoff,
    /// Delays between reads of the slots without the full state.
    unready_backoff: Backoff,
}

/// Progress towards a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The process has just started.
    Started,
    /// No slot, no lease.
    Idle,
    /// This slot was free; a lease is being created.
    Claiming(u8),
    /// The slot is being written with this lease; the outcome is unknown.
    Writing(u8, Lease),
    /// The slot is held with this lease.
    Holding(u8, Lease),
}

impl Core {
    /// Creates a state machine that holds no slot. `value` must be unique to the process.
    pub fn new(domain: Name, value: Bytes) -> Self {
        Self {
            domain,
            value,
            state: State::Started,
            store_unavailable: false,
            failure_backoff: Backoff::new(FAILURE_BACKOFF_MS.0, FAILURE_BACKOFF_MS.1),
            unready_backoff: Backoff::new(UNREADY_BACKOFF_MS.0, UNREADY_BACKOFF_MS.1),
        }
    }

    /// The slot that is held, if any.
    pub fn slot(&self) -> Option<u8> {
        match self.state {
            State::Holding(slot, _) => Some(slot),
            _ => None,
        }
    }

    /// The lease to revoke when the process stops.
    pub fn lease(&self) -> Option<Lease> {
        match self.state {
            State::Holding(_, lease) | State::Writing(_, lease) => Some(lease),
            _ => None,
        }
    }

    /// Handles an event and returns the next call; appends what is to be recorded to `events`.
    pub fn handle(
        &mut self,
        event: Event,
        fleet: Fleet,
        random: u64,
        events: &mut Vec<Kind>,
    ) -> Call {
        self.track_store(&event, events);
        match event {
            Event::Due => self.on_due(random),
            Event::SlotsRead(range) => self.on_slots_read(&range, fleet, random, events),
            Event::Granted(lease) => self.write_slot(lease),
            Event::Written(TxnResult::Committed { .. }) => self.hold(random, events),
            Event::Written(TxnResult::ConditionFailed { .. }) => {
                self.abandon(fleet, random)
            }
            Event::KeptAlive => Call::Wait(KEEP_ALIVE_MS + random % KEEP_ALIVE_JITTER_MS),
            Event::Revoked => self.wait_for_scan(fleet, random),
            Event::Failed(error) => self.on_failure(&error, random, events),
        }
    }

    /// Records once that the store is unavailable, and once that it is available again.
    fn track_store(&mut self, event: &Event, events: &mut Vec<Kind>) {
        let unavailable = match event {
            Event::Due => return,
            Event::Failed(Error::Lapsed { .. } | Error::Protocol { .. }) => false,
            // Throttled calls do not tell whether the store is available.
            Event::Failed(Error::Throttled { .. }) => return,
            Event::Failed(_) => true,
            _ => false,
        };
        if unavailable != self.store_unavailable {
            events.push(if unavailable { Kind::StoreAway } else { Kind::StoreBack });
            self.store_unavailable = unavailable;
        }
        if !matches!(event, Event::Failed(_)) {
            self.failure_backoff.reset();
        }
    }

    /// The wait is over: makes the call that is due.
    fn on_due(&mut self, random: u64) -> Call {
        match self.state {
            State::Started => {
                self.state = State::Idle;
                Call::Wait(random % START_JITTER_MS)
            }
            State::Holding(_, lease) => Call::KeepAlive(lease),
            State::Idle | State::Claiming(_) | State::Writing(..) => Call::ReadSlots,
        }
    }

    /// The slots were read: determines the outcome of a write, or claims a free slot.
    fn on_slots_read(
        &mut self,
        range: &Range,
        fleet: Fleet,
        random: u64,
        events: &mut Vec<Kind>,
    ) -> Call {
        if let State::Writing(slot, _) = self.state {
            let entry = range.get(&key::relay(&self.domain, slot));
            if entry.is_some_and(|entry| entry.value == self.value) {
                return self.hold(random, events);
            }
            return self.abandon(fleet, random);
        }
        let free: Vec<u8> = (0..SLOTS)
            .filter(|slot| range.get(&key::relay(&self.domain, *slot)).is_none())
            .collect();
        if free.is_empty() {
            return self.wait_for_scan(fleet, random);
        }
        self.state = State::Claiming(free[random as usize % free.len()]);
        Call::CreateLease
    }

    /// A lease was created: writes the slot if it is still free.
    fn write_slot(&mut self, lease: Lease) -> Call {
        let State::Claiming(slot) = self.state else { return Call::Revoke(lease) };
        self.state = State::Writing(slot, lease);
        let key = key::relay(&self.domain, slot);
        let txn = Txn::new().compare(key.clone(), 0);
        Call::WriteSlot(txn.lease(key, self.value.clone(), lease))
    }

    /// This process holds the slot.
    fn hold(&mut self, random: u64, events: &mut Vec<Kind>) -> Call {
        if let State::Writing(slot, lease) = self.state {
            self.state = State::Holding(slot, lease);
            events.push(Kind::RelayGained { slot });
        }
        Call::Wait(KEEP_ALIVE_MS + random % KEEP_ALIVE_JITTER_MS)
    }

    /// Another process holds the slot: revokes the lease.
    fn abandon(&mut self, fleet: Fleet, random: u64) -> Call {
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Writing(_, lease) => Call::Revoke(lease),
            _ => self.wait_for_scan(fleet, random),
        }
    }

    /// Waits until the next read of the slots.
    ///
    /// The wait grows with the number of balancers, so that the rate of reads of the whole
    /// failure domain stays the same.
    fn wait_for_scan(&mut self, fleet: Fleet, random: u64) -> Call {
        self.state = State::Idle;
        if !fleet.ready {
            return Call::Wait(self.unready_backoff.next(random));
        }
        self.unready_backoff.reset();
        let mean_ms = SCAN_INTERVAL_MS * fleet.balancers.max(1) as u64;
        Call::Wait(mean_ms / 2 + random % mean_ms)
    }

    /// A call failed: decides whether the slot is given up and when to call again.
    fn on_failure(&mut self, error: &Error, random: u64, events: &mut Vec<Kind>) -> Call {
        match (self.state, error) {
            (State::Holding(slot, _), Error::Lapsed { .. }) => {
                self.state = State::Idle;
                events.push(Kind::RelayLost { slot });
                Call::ReadSlots
            }
            (State::Writing(..), Error::Lapsed { .. }) => {
                self.state = State::Idle;
                Call::Wait(self.failure_backoff.next(random))
            }
            (State::Claiming(_), _) => {
                self.state = State::Idle;
                Call::Wait(self.failure_backoff.next(random))
            }
            // A holder continues to relay: it cannot tell whether its lease has expired, and
            // an additional relay does no harm.
            _ => Call::Wait(self.failure_backoff.next(random)),
        }
    }
}

/// The value of a slot: the process and its gossip address.
pub fn slot_value(node: crate::id::node::Id, gossip_address: SocketAddr) -> Bytes {
    Bytes::from(format!("{node} {gossip_address}"))
}

/// The gossip address in the value of a slot.
pub fn slot_address(value: &[u8]) -> Option<SocketAddr> {
    std::str::from_utf8(value).ok()?.split(' ').nth(1)?.parse().ok()
}
