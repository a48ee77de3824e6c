//! A stand-in for the platform's store.
//!
//! [`core::Core`] holds keys, leases and history. It is reached through sockets
//! ([`server::Server`]) or without them ([`memory::Memory`]). Both count calls, limit rates
//! and show the faults that a [`Handle`] switches on.

use std::io;
use std::net::SocketAddr;

use lentilreach::process::pool::Pool;
use lentilreach::process::store::MAX_VALUE;

pub use counts::Counts;
pub use handle::{Away, Handle};
pub use memory::Memory;
pub use server::Server;

pub mod core;
pub mod counts;
mod cursor;
pub mod handle;
pub mod memory;
pub mod server;
mod service;
mod wire;

/// Settings of a stand-in store.
#[derive(Debug, Clone)]
pub struct Builder {
    /// Transactions and lease calls a second. As many may come at once.
    writes: u32,
    /// Reads and new watches a second. As many may come at once.
    reads: u32,
    /// Largest value in bytes.
    value: usize,
    /// Number of revisions that watches can go back.
    history: usize,
    /// Delay of each answer in milliseconds.
    delay_ms: u64,
    /// Whether time only moves by [`Handle::advance`].
    is_manual: bool,
}

impl Builder {
    /// The store as the platform describes it: 500 writes and 2,000 reads a second, values
    /// up to 1 MiB.
    pub fn new() -> Self {
        Self {
            writes: 500,
            reads: 2_000,
            value: MAX_VALUE,
            history: 10_000,
            delay_ms: 0,
            is_manual: false,
        }
    }

    /// Limits transactions and lease calls a second.
    #[must_use]
    pub fn writes(mut self, per_second: u32) -> Self {
        self.writes = per_second;
        self
    }

    /// Limits reads and new watches a second.
    #[must_use]
    pub fn reads(mut self, per_second: u32) -> Self {
        self.reads = per_second;
        self
    }

    /// Limits the size of a value, in bytes.
    #[must_use]
    pub fn value(mut self, bytes: usize) -> Self {
        self.value = bytes;
        self
    }

    /// Limits how many revisions watches can go back.
    #[must_use]
    pub fn history(mut self, revisions: usize) -> Self {
        self.history = revisions;
        self
    }

    /// Delays each answer, in milliseconds.
    #[must_use]
    pub fn delay_ms(mut self, ms: u64) -> Self {
        self.delay_ms = ms;
        self
    }

    /// Lets time move by [`Handle::advance`] only: for leases and rates, not for delays.
    #[must_use]
    pub fn manual(mut self) -> Self {
        self.is_manual = true;
        self
    }

    /// A store without sockets.
    pub fn memory(self) -> Memory {
        Memory::new(Handle::new(&self))
    }

    /// A store that listens on a loopback address; port 0 takes a free port.
    ///
    /// # Errors
    /// If the address is in use or not a loopback address.
    pub fn serve(self, address: SocketAddr, pool: &Pool) -> io::Result<Server> {
        Server::start(Handle::new(&self), address, pool)
    }
}

impl Default for Builder {
    fn default() -> Self {
        Self::new()
    }
}
