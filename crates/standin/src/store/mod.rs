//! A stand-in for the platform's store.
//!
//! [`core::Core`] implements keys, leases and revision history. Clients reach it over gRPC
//! ([`server::Server`]) or in process ([`memory::Memory`]). Both count calls, enforce rate
//! limits and apply the faults that a [`Handle`] injects.

use std::io;
use std::net::SocketAddr;

use lentilreach::process::pool::Pool;
use lentilreach::process::store::MAX_VALUE_BYTES;

pub use counts::Counts;
pub use handle::{Handle, Outage};
pub use memory::Memory;
pub use server::Server;

pub mod core;
pub mod counts;
pub mod handle;
pub mod memory;
pub mod server;
mod service;
mod watcher;
mod wire;

/// Builds a stand-in store.
#[derive(Debug, Clone)]
pub struct Builder {
    /// Transactions and lease calls per second; also the burst size.
    writes_per_s: u32,
    /// Reads and new watches per second; also the burst size.
    reads_per_s: u32,
    /// Maximum size of a value in bytes.
    max_value_bytes: usize,
    /// Number of revisions retained for watches.
    max_revisions: usize,
    /// Delay of each response in milliseconds.
    delay_ms: u64,
    /// Whether leases and rate limits use a clock that only [`Handle::advance`] moves.
    has_manual_clock: bool,
}

impl Builder {
    /// Uses the limits that the platform documents: 500 writes and 2,000 reads per second,
    /// values up to 1 MiB.
    pub fn new() -> Self {
        Self {
            writes_per_s: 500,
            reads_per_s: 2_000,
            max_value_bytes: MAX_VALUE_BYTES,
            max_revisions: 10_000,
            delay_ms: 0,
            has_manual_clock: false,
        }
    }

    /// Limits transactions and lease calls per second.
    #[must_use]
    pub fn writes_per_s(mut self, per_second: u32) -> Self {
        self.writes_per_s = per_second;
        self
    }

    /// Limits reads and new watches per second.
    #[must_use]
    pub fn reads_per_s(mut self, per_second: u32) -> Self {
        self.reads_per_s = per_second;
        self
    }

    /// Limits the size of a value, in bytes.
    #[must_use]
    pub fn max_value_bytes(mut self, bytes: usize) -> Self {
        self.max_value_bytes = bytes;
        self
    }

    /// Limits the number of revisions retained for watches.
    #[must_use]
    pub fn max_revisions(mut self, revisions: usize) -> Self {
        self.max_revisions = revisions;
        self
    }

    /// Delays each response, in milliseconds.
    #[must_use]
    pub fn delay_ms(mut self, ms: u64) -> Self {
        self.delay_ms = ms;
        self
    }

    /// Uses a manual clock for leases and rate limits: only [`Handle::advance`] moves it.
    /// Response delays still use real time.
    #[must_use]
    pub fn manual_clock(mut self) -> Self {
        self.has_manual_clock = true;
        self
    }

    /// Creates a store that clients call in process.
    pub fn memory(self) -> Memory {
        Memory::new(Handle::new(&self))
    }

    /// Starts a server on a loopback address. Port 0 selects a free port.
    ///
    /// # Errors
    /// Returns an error if the address is in use or is not a loopback address.
    pub fn serve(self, address: SocketAddr, pool: &Pool) -> io::Result<Server> {
        Server::start(Handle::new(&self), address, pool)
    }
}

impl Default for Builder {
    fn default() -> Self {
        Self::new()
    }
}
