//! Settings of the store client.

use std::net::SocketAddr;
use std::sync::Arc;

/// Settings of the store client. Made by a [`Builder`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Addresses of the store; the next one is tried when one fails.
    pub endpoints: Arc<[SocketAddr]>,
    /// Calls a second of this process.
    pub rate: u32,
    /// Calls that may be made at once.
    pub burst: u32,
    /// Time for opening a connection, in milliseconds. Less than `attempt_ms`, so that an
    /// unreachable store is told from a lost answer.
    pub connect_ms: u64,
    /// Time for one attempt, in milliseconds.
    pub attempt_ms: u64,
    /// Time for a call with all its attempts, in milliseconds.
    pub call_ms: u64,
    /// Time between pings while a call or watch is open, in milliseconds. A connection whose
    /// ping is not answered within one third of that counts as lost.
    pub ping_ms: u64,
    /// Longest first delay before another attempt, in milliseconds.
    pub backoff_ms: u64,
    /// Longest delay before another attempt, in milliseconds.
    pub backoff_cap_ms: u64,
}

impl Settings {
    /// Starts from the defaults.
    pub fn builder() -> Builder {
        Builder { settings: Self::default() }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            endpoints: Arc::new([]),
            // Two relays in each of 10 failure domains stay below the 500 writes a second
            // that the store takes, even if every call of each is a write.
            rate: 20,
            burst: 20,
            connect_ms: 1_000,
            // The store answers in milliseconds; a value of 1 MiB over a link that loses 1%
            // needs a few retransmissions of 200 ms.
            attempt_ms: 2_000,
            // Below the 7 s in which an accepted configuration is in force.
            call_ms: 5_000,
            // etcd closes connections that ping more often than every 5 s.
            ping_ms: 6_000,
            backoff_ms: 50,
            backoff_cap_ms: 2_000,
        }
    }
}

/// Sets the settings one by one.
#[derive(Debug, Clone)]
pub struct Builder {
    /// What has been set so far.
    settings: Settings,
}

impl Builder {
    /// Adds an address of the store.
    #[must_use]
    pub fn endpoint(mut self, endpoint: SocketAddr) -> Self {
        self.settings.endpoints =
            self.settings.endpoints.iter().copied().chain([endpoint]).collect();
        self
    }

    /// Limits the calls: `rate` a second, `burst` at once.
    #[must_use]
    pub fn budget(mut self, rate: u32, burst: u32) -> Self {
        self.settings.rate = rate;
        self.settings.burst = burst;
        self
    }

    /// Time for opening a connection, in milliseconds.
    #[must_use]
    pub fn connect_ms(mut self, ms: u64) -> Self {
        self.settings.connect_ms = ms;
        self
    }

    /// Time for one attempt, in milliseconds.
    #[must_use]
    pub fn attempt_ms(mut self, ms: u64) -> Self {
        self.settings.attempt_ms = ms;
        self
    }

    /// Time for a call with all its attempts, in milliseconds.
    #[must_use]
    pub fn call_ms(mut self, ms: u64) -> Self {
        self.settings.call_ms = ms;
        self
    }

    /// Time between pings while a call or watch is open, in milliseconds.
    #[must_use]
    pub fn ping_ms(mut self, ms: u64) -> Self {
        self.settings.ping_ms = ms;
        self
    }

    /// Delays before another attempt, in milliseconds: the longest first one and the longest.
    #[must_use]
    pub fn backoff_ms(mut self, base: u64, cap: u64) -> Self {
        self.settings.backoff_ms = base;
        self.settings.backoff_cap_ms = cap;
        self
    }

    /// The settings. `connect_ms` is limited to one half of `attempt_ms`.
    pub fn build(self) -> Settings {
        let mut settings = self.settings;
        settings.connect_ms = settings.connect_ms.min(settings.attempt_ms / 2);
        settings
    }
}
