//! Signals to all connections that a drain has begun.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use event_listener::Event;

/// The drain signal of a process or a service. Clones share the state.
#[derive(Debug, Clone, Default)]
pub struct Drain {
    /// Shared by all clones.
    shared: Arc<Shared>,
}

/// State of a [`Drain`].
#[derive(Debug, Default)]
struct Shared {
    /// Set once, never reset.
    begun: AtomicBool,
    /// Notified when `begun` is set.
    event: Event,
}

impl Drain {
    /// Begins the drain. Further calls have no effect.
    pub fn begin(&self) {
        self.shared.begun.store(true, Ordering::Release);
        self.shared.event.notify(usize::MAX);
    }

    /// Whether the drain has begun.
    pub fn has_begun(&self) -> bool {
        self.shared.begun.load(Ordering::Acquire)
    }

    /// Waits until the drain begins.
    pub async fn wait(&self) {
        loop {
            let listener = self.shared.event.listen();
            // Checked after the listener is registered, so that no notification is missed.
            if self.has_begun() {
                return;
            }
            listener.await;
        }
    }
}
