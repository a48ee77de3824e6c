//! The handle by which all parts of a process record events.

use std::sync::Arc;

use metrics::Counter;

use crate::process::clock::{Hybrid, Stamp};
use crate::process::event::merge::merge;
use crate::process::event::{Draft, Event, Kind, Label, Ring};
use crate::process::lock::Ranked;
use crate::process::metric;
use crate::process::name::Name;

/// Rank of the events in the lock order; see the design page.
const RANK: u8 = 80;

/// Longest reason of a rejected configuration value, in bytes.
const MAX_REASON: usize = 256;

/// Start of the store keys whose values hold keys.
const SECRET: &str = "lentilreach/key";

/// Reason in place of one that may quote a key.
const WITHHELD: &str = "withheld, as the value holds keys";

/// Bounds of a recorder.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// State changes kept. The default of 2,048 takes about 0.5 MB and holds a day of a
    /// fleet in which 350 processes restart.
    pub states: usize,
    /// Flow events kept, apart from state changes, so that traffic does not displace them.
    pub flows: usize,
    /// One flow in so many is kept; all are counted.
    pub sample: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { states: 2_048, flows: 1_024, sample: 64 }
    }
}

/// Stamps, keeps and counts the events of a process. Clones share the same timeline.
#[derive(Debug, Clone)]
pub struct Recorder {
    /// What the clones share.
    shared: Arc<Shared>,
}

/// What the clones of a recorder share.
#[derive(Debug)]
struct Shared {
    /// The process's name.
    process: Name,
    /// Its failure domain.
    domain: Name,
    /// One flow in so many is kept; never zero.
    sample: u64,
    /// Clock and events, under one lock so that stamps rise in the rings.
    book: Ranked<Book>,
    /// One counter for each [`Label`], in the order of [`Label::ALL`].
    counters: Vec<Counter>,
    /// Counts overwritten events.
    overwritten: Counter,
}

/// The clock and the events.
#[derive(Debug)]
struct Book {
    /// The process's hybrid logical clock.
    clock: Hybrid,
    /// Events that are not about one flow.
    states: Ring,
    /// Sampled events about flows.
    flows: Ring,
}

impl Recorder {
    /// A recorder with default bounds.
    ///
    /// Resolves its metrics, so [`metric::install`] must come first.
    pub fn new(process: Name, domain: Name) -> Self {
        Self::with(process, domain, Bounds::default())
    }

    /// A recorder with given bounds. See [`Recorder::new`].
    pub fn with(process: Name, domain: Name, bounds: Bounds) -> Self {
        let book = Book {
            clock: Hybrid::default(),
            states: Ring::new(bounds.states),
            flows: Ring::new(bounds.flows),
        };
        let shared = Shared {
            process,
            domain,
            sample: bounds.sample.max(1),
            book: Ranked::new(RANK, book),
            counters: Label::ALL.iter().map(|label| metric::event(*label)).collect(),
            overwritten: metric::counter(&metric::EVENTS_OVERWRITTEN),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Records an event at a wall-clock time in milliseconds since the Unix epoch.
    ///
    /// Every event is counted. Of flow events, only those of sampled flows are kept. State
    /// changes are also logged.
    pub fn record(&self, wall_ms: u64, draft: impl Into<Draft>) {
        let Draft { service, revision, kind } = draft.into();
        let shared = &self.shared;
        shared.counters[kind.label() as usize].increment(1);
        let flow = kind.flow();
        if flow.is_some_and(|flow| !flow.is_multiple_of(shared.sample)) {
            return;
        }
        let mut event = Event {
            stamp: Stamp::default(),
            process: shared.process.clone(),
            domain: shared.domain.clone(),
            service,
            revision,
            kind: checked(kind),
        };
        if flow.is_none() {
            log::info!("{event}");
        }
        let mut book = shared.book.write();
        event.stamp = book.clock.stamp(wall_ms);
        let ring = if flow.is_some() { &mut book.flows } else { &mut book.states };
        let old = ring.push(event);
        drop(book);
        if old.is_some() {
            shared.overwritten.increment(1);
        }
    }

    /// A stamp for a message to another process.
    pub fn stamp(&self, wall_ms: u64) -> Stamp {
        self.shared.book.write().clock.stamp(wall_ms)
    }

    /// Takes note of the stamp of a received message, so that what follows from the message
    /// is stamped later. Returns false if the stamp is too far ahead to be taken.
    pub fn observe(&self, remote: Stamp, wall_ms: u64) -> bool {
        self.shared.book.write().clock.observe(remote, wall_ms)
    }

    /// Events later than a stamp, in order.
    ///
    /// Stamps rise, so a reader that passes the last stamp that it got misses nothing but
    /// overwritten events.
    pub fn since(&self, stamp: Stamp) -> Vec<Event> {
        let book = self.shared.book.read();
        let states = book.states.since(stamp).cloned().collect();
        let flows = book.flows.since(stamp).cloned().collect();
        drop(book);
        merge(vec![states, flows])
    }

    /// Number of events overwritten since the start.
    pub fn overwritten(&self) -> u64 {
        let book = self.shared.book.read();
        book.states.overwritten() + book.flows.overwritten()
    }

    /// The process's name.
    pub fn process(&self) -> &Name {
        &self.shared.process
    }

    /// The process's failure domain.
    pub fn domain(&self) -> &Name {
        &self.shared.domain
    }
}

/// Bounds the memory that free text takes, and withholds text about values that hold keys.
fn checked(kind: Kind) -> Kind {
    match kind {
        Kind::ConfigRejected { entry, .. } if entry.starts_with(SECRET) => {
            Kind::ConfigRejected { entry, reason: WITHHELD.into() }
        }
        Kind::ConfigRejected { entry, reason } if reason.len() > MAX_REASON => {
            let end = reason.floor_char_boundary(MAX_REASON);
            Kind::ConfigRejected { entry, reason: reason[..end].into() }
        }
        kind => kind,
    }
}
