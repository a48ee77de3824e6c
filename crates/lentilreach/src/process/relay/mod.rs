//! Registration in the store, and relaying its documents to the exchange.
//!
//! Each failure domain has [`SLOTS`] slots. Only their holders follow the configuration in
//! the store; all other nodes get it from the exchange, so that the load on the store does
//! not grow with the fleet. With `n` balancers in a failure domain, it gets at most
//! 2 x 1/3 keep-alives a second from the holders and, on average, 0.2 looks a second from all
//! the others together (at most 0.4), whatever `n` is, besides one waiting watch per holder.
//!
//! [`core`] decides, [`driver`] makes the calls, [`update`] turns what the store reports into
//! entries of the exchange. Documents carry the revision of the store, so a process that was
//! paused past its lease relays nothing that could replace a newer document.

pub mod core;
pub mod driver;
pub mod update;

pub use driver::{Relay, Settings};

/// Slots in each failure domain. The second one relays while the first one is lost.
pub const SLOTS: u8 = 2;
