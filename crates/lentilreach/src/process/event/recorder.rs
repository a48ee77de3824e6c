//! The recorder, through which all parts of a process record events.

use std::sync::Arc;

use metrics::Counter;

use crate::process::clock::{Hybrid, Stamp};
use crate::process::event::merge::merge;
use crate::process::event::{Draft, Event, Kind, Label, Ring};
use crate::process::lock::Ranked;
use crate::process::metric;
use crate::process::name::Name;

/// Rank in the lock order, see [`crate::process::tables`].
const RANK: u8 = 80;

/// Maximum length of the reason why a configuration value was rejected. Longer ones are
/// truncated.
const MAX_REASON_BYTES: usize = 256;

/// Prefix of the store keys whose values contain key material.
const SECRET_PREFIX: &str = "lentilreach/key";

/// Replaces a reason that may quote key material.
const WITHHELD_REASON: &str = "withheld, as the value holds keys";

/// Capacity and sampling of a recorder.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Maximum number of state changes stored. The default of 2,048 takes about 0.5 MB
    /// and covers a day in which 350 processes of a fleet restart.
    pub state_capacity: usize,
    /// Maximum number of flow events stored. They are stored apart from state changes, so
    /// that traffic does not displace those.
    pub flow_capacity: usize,
    /// One of this many flows has its events stored. The events of all flows are counted.
    pub sample_interval: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { state_capacity: 2_048, flow_capacity: 1_024, sample_interval: 64 }
    }
}

/// Stamps, stores and counts the events of a process. Clones share the timeline.
#[derive(Debug, Clone)]
pub struct Recorder {
    /// State shared by the clones.
    shared: Arc<Shared>,
}

/// State shared by the clones of a recorder.
#[derive(Debug)]
struct Shared {
    /// Name of the process.
    process: Name,
    /// Failure domain of the process.
    domain: Name,
    /// One of this many flows has its events stored; at least 1.
    sample_interval: u64,
    /// Clock and events, under one lock, so that stamps increase within each ring.
    timeline: Ranked<Timeline>,
    /// One counter for each [`Label`], in the order of [`Label::ALL`].
    counters: Vec<Counter>,
    /// Counts overwritten events.
    overwritten: Counter,
}

/// The clock and the events.
#[derive(Debug)]
struct Timeline {
    /// Hybrid logical clock of the process.
    clock: Hybrid,
    /// State changes: all events that are not about a single flow.
    states: Ring,
    /// Flow events of the sampled flows.
    flows: Ring,
}

impl Recorder {
    /// Creates a recorder with default bounds.
    ///
    /// Call [`metric::install`] before, because this resolves the recorder's metrics.
    pub fn new(process: Name, domain: Name) -> Self {
        Self::with_bounds(process, domain, Bounds::default())
    }

    /// Creates a recorder with the given bounds, see [`Recorder::new`].
    pub fn with_bounds(process: Name, domain: Name, bounds: Bounds) -> Self {
        let timeline = Timeline {
            clock: Hybrid::default(),
            states: Ring::new(bounds.state_capacity),
            flows: Ring::new(bounds.flow_capacity),
        };
        let shared = Shared {
            process,
            domain,
            sample_interval: bounds.sample_interval.max(1),
            timeline: Ranked::new(RANK, timeline),
            counters: Label::ALL
                .iter()
                .map(|label| metric::event_counter(*label))
                .collect(),
            overwritten: metric::counter(&metric::EVENTS_OVERWRITTEN),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Records an event at a wall-clock time in milliseconds since the Unix epoch.
    ///
    /// Every event is counted. State changes are logged and stored; flow events are
    /// stored only for sampled flows.
    pub fn record(&self, wall_ms: u64, draft: impl Into<Draft>) {
        let Draft { service, revision, kind } = draft.into();
        let shared = &self.shared;
        shared.counters[kind.label() as usize].increment(1);
        let flow = kind.flow();
        if flow.is_some_and(|flow| !flow.is_multiple_of(shared.sample_interval)) {
            return;
        }
        let mut event = Event {
            stamp: Stamp::default(),
            process: shared.process.clone(),
            domain: shared.domain.clone(),
            service,
            revision,
            kind: sanitize(kind),
        };
        if flow.is_none() {
            log::info!("{event}");
        }
        let mut timeline = shared.timeline.write();
        event.stamp = timeline.clock.stamp(wall_ms);
        let ring =
            if flow.is_some() { &mut timeline.flows } else { &mut timeline.states };
        let displaced = ring.push(event);
        drop(timeline);
        if displaced.is_some() {
            shared.overwritten.increment(1);
        }
    }

    /// Creates a stamp for a message to another process.
    pub fn stamp(&self, wall_ms: u64) -> Stamp {
        self.shared.timeline.write().clock.stamp(wall_ms)
    }

    /// Observes the stamp of a received message, so that its effects get later stamps.
    /// Returns false if the stamp is ignored because it is too far ahead.
    pub fn observe(&self, received: Stamp, wall_ms: u64) -> bool {
        self.shared.timeline.write().clock.observe(received, wall_ms)
    }

    /// Events later than a stamp, in order.
    ///
    /// Stamps increase, so a reader that passes the last stamp it received misses only
    /// events that were overwritten.
    pub fn since(&self, stamp: Stamp) -> Vec<Event> {
        let timeline = self.shared.timeline.read();
        let states = timeline.states.since(stamp).cloned().collect();
        let flows = timeline.flows.since(stamp).cloned().collect();
        drop(timeline);
        merge(vec![states, flows])
    }

    /// Number of events overwritten since the start.
    pub fn overwritten(&self) -> u64 {
        let timeline = self.shared.timeline.read();
        timeline.states.overwritten() + timeline.flows.overwritten()
    }

    /// Name of the process.
    pub fn process(&self) -> &Name {
        &self.shared.process
    }

    /// Failure domain of the process.
    pub fn domain(&self) -> &Name {
        &self.shared.domain
    }
}

/// Truncates long reasons, and withholds reasons about values that contain key material.
fn sanitize(kind: Kind) -> Kind {
    match kind {
        Kind::ConfigRejected { entry, .. } if entry.starts_with(SECRET_PREFIX) => {
            Kind::ConfigRejected { entry, reason: WITHHELD_REASON.into() }
        }
        Kind::ConfigRejected { entry, reason } if reason.len() > MAX_REASON_BYTES => {
            let end = reason.floor_char_boundary(MAX_REASON_BYTES);
            Kind::ConfigRejected { entry, reason: reason[..end].into() }
        }
        kind => kind,
    }
}
