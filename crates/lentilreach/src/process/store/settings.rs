//! Settings of the store client.

use std::net::SocketAddr;
use std::sync::Arc;

/// Settings of the store client. Created with a [`Builder`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Addresses of the store. When a connection fails, the next address is tried.
    pub endpoints: Arc<[SocketAddr]>,
    /// Maximum number of calls per second in this process.
    pub rate: u32,
    /// Maximum number of calls in a burst.
    pub burst: u32,
    /// Timeout for opening a connection, in milliseconds. It is less than `attempt_ms`, so that
    /// an unreachable store can be distinguished from a lost answer.
    pub connect_ms: u64,
    /// Timeout for one attempt, in milliseconds.
    pub attempt_ms: u64,
    /// Timeout for a call with all its attempts, in milliseconds.
    pub call_ms: u64,
    /// Interval between pings while a call or watch is open, in milliseconds. The connection
    /// counts as lost if a ping is not answered within one third of the interval.
    pub ping_ms: u64,
    /// Maximum delay before the first retry, in milliseconds.
    pub backoff_ms: u64,
    /// Maximum delay before any retry, in milliseconds.
    pub backoff_cap_ms: u64,
}

impl Settings {
    /// Creates a builder with the default settings.
    pub fn builder() -> Builder {
        Builder { settings: Self::default() }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            endpoints: Arc::new([]),
            // With this rate, two relays in each of 10 failure domains stay below the 500
            // writes per second that the store accepts, even if all calls are writes.
            rate: 20,
            burst: 20,
            connect_ms: 1_000,
            // The store answers within milliseconds, but a value of 1 MiB over a link that
            // loses 1% of the packets needs a few retransmissions of 200 ms each.
            attempt_ms: 2_000,
            // Below the 7 s within which an accepted configuration must be in force.
            call_ms: 5_000,
            // etcd closes connections with pings more often than every 5 s.
            ping_ms: 6_000,
            backoff_ms: 50,
            backoff_cap_ms: 2_000,
        }
    }
}

/// A builder for [`Settings`].
#[derive(Debug, Clone)]
pub struct Builder {
    /// The settings so far.
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

    /// Limits the calls to `rate` per second, with bursts of `burst` calls.
    #[must_use]
    pub fn budget(mut self, rate: u32, burst: u32) -> Self {
        self.settings.rate = rate;
        self.settings.burst = burst;
        self
    }

    /// Sets the timeout for opening a connection, in milliseconds.
    #[must_use]
    pub fn connect_ms(mut self, ms: u64) -> Self {
        self.settings.connect_ms = ms;
        self
    }

    /// Sets the timeout for one attempt, in milliseconds.
    #[must_use]
    pub fn attempt_ms(mut self, ms: u64) -> Self {
        self.settings.attempt_ms = ms;
        self
    }

    /// Sets the timeout for a call with all its attempts, in milliseconds.
    #[must_use]
    pub fn call_ms(mut self, ms: u64) -> Self {
        self.settings.call_ms = ms;
        self
    }

    /// Sets the interval between pings while a call or watch is open, in milliseconds.
    #[must_use]
    pub fn ping_ms(mut self, ms: u64) -> Self {
        self.settings.ping_ms = ms;
        self
    }

    /// Sets the maximum delays before the first and before any retry, in milliseconds.
    #[must_use]
    pub fn backoff_ms(mut self, base: u64, cap: u64) -> Self {
        self.settings.backoff_ms = base;
        self.settings.backoff_cap_ms = cap;
        self
    }

    /// Returns the settings, with `connect_ms` limited to one half of `attempt_ms`.
    pub fn build(self) -> Settings {
        let mut settings = self.settings;
        settings.connect_ms = settings.connect_ms.min(settings.attempt_ms / 2);
        settings
    }
}
