//! Relays: a few balancers read the configuration from the store and publish it by gossip.
//!
//! Each failure domain has [`SLOTS`] relay slots. Only their holders watch the configuration
//! in the store; all other nodes get it by gossip, so that the load on the store does not grow
//! with the fleet. With `n` balancers in a failure domain, the store gets at most 2 x 1/3
//! keep-alives a second from the holders and, on average, 0.2 reads of the slots a second from
//! all the others together (at most 0.4), whatever `n` is, besides one waiting watch per
//! holder.
//!
//! [`core`] is the state machine, [`driver`] makes the calls, [`update`] converts what the
//! store reports into gossip entries, [`mirror`] knows which documents the store holds. Documents carry the revision of the store, so a process
//! that was paused past the end of its lease publishes nothing that could replace a newer
//! document.

pub mod core;
pub mod driver;
pub mod mirror;
pub mod update;

pub use driver::{Relay, Settings};

/// Relay slots in each failure domain. If the holder of one fails, the other still relays.
pub const SLOTS: u8 = 2;
