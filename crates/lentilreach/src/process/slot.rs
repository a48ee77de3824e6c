//! Lets request tasks wait for the gate's decisions.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::process::clock::{Clock, Millis};
use crate::process::lock::Ranked;
use crate::process::tables::SLOTS;
use crate::request::admit::{Action, Arrival, End, Gate, Limits, Ticket, Why};

/// The gate to a backend server, shared by request tasks.
#[derive(Debug, Clone)]
pub struct Slots {
    /// Shared by all clones.
    shared: Arc<Shared>,
}

/// State of [`Slots`].
#[derive(Debug)]
struct Shared {
    /// The gate and those who wait for it.
    queue: Ranked<Queue>,
    /// The number of the next ticket.
    next: AtomicU64,
    /// Time for the gate.
    clock: Clock,
}

/// The gate and those who wait for it.
#[derive(Debug)]
struct Queue {
    /// Decides.
    gate: Gate,
    /// Sorted by ticket; each ticket that the gate has queued, until it is told.
    waiting: Vec<(Ticket, async_channel::Sender<Result<(), Refusal>>)>,
}

/// A request was refused before any of it reached the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// When to try again, in milliseconds.
    pub retry_after_ms: u64,
    /// The reason.
    pub why: Why,
}

impl Refusal {
    /// Time to wait when the backend server takes no connection, in milliseconds.
    const RECONNECT_MS: u64 = 1_000;

    /// The backend server took no connection.
    pub fn backend_server() -> Self {
        Self { retry_after_ms: Self::RECONNECT_MS, why: Why::Cold }
    }
}

impl Slots {
    /// Slots behind a new gate.
    pub fn new(limits: Limits, clock: Clock) -> Self {
        let queue = Queue { gate: Gate::new(limits, clock.now()), waiting: Vec::new() };
        let queue = Ranked::new(SLOTS, queue);
        Self { shared: Arc::new(Shared { queue, next: AtomicU64::new(0), clock }) }
    }

    /// Waits for a slot until the deadline.
    ///
    /// # Errors
    /// If the gate refuses; nothing has reached the backend server then.
    pub async fn enter(&self, deadline: Millis) -> Result<Permit, Refusal> {
        let ticket = Ticket(self.shared.next.fetch_add(1, Ordering::Relaxed));
        let told = {
            let mut queue = self.shared.queue.write();
            match queue.gate.arrive(self.now(), ticket, deadline) {
                Arrival::Run => None,
                Arrival::Wait => Some(queue.wait(ticket)),
                Arrival::Refuse { retry_after_ms, why } => {
                    return Err(Refusal { retry_after_ms, why });
                }
            }
        };
        // From here on a dropped task gives its place back.
        let mut permit = Permit { ticket, slots: self.clone(), finished: false };
        if let Some(told) = told {
            let answer = told.recv().await;
            if let Ok(Err(refusal)) = answer {
                permit.finished = true;
                return Err(refusal);
            }
        }
        Ok(permit)
    }

    /// Lets the gate act on the passing of time.
    pub fn tick(&self) {
        self.update(|gate, now| gate.tick(now));
    }

    /// Tells the gate that the backend server closed its connections.
    pub fn closed(&self) {
        self.update(|gate, now| gate.closed(now));
    }

    /// Replaces the limits. Running requests stay.
    pub fn set_limits(&self, limits: Limits) {
        self.shared.queue.write().gate.set_limits(limits);
    }

    /// Refuses all new requests from now on, or admits them again.
    pub fn set_draining(&self, draining: bool) {
        self.shared.queue.write().gate.set_draining(draining);
    }

    /// Requests that run at present.
    pub fn busy(&self) -> u16 {
        self.shared.queue.read().gate.busy()
    }

    /// Requests that wait for a slot at present.
    pub fn waiting(&self) -> u16 {
        self.shared.queue.read().gate.waiting()
    }

    /// Requests that may run at present.
    pub fn limit(&self) -> u16 {
        self.shared.queue.read().gate.limit(self.now())
    }

    /// Whether the backend server is taken to be cold.
    pub fn is_cold(&self) -> bool {
        self.shared.queue.read().gate.is_cold(self.now())
    }

    /// The time for the gate.
    fn now(&self) -> Millis {
        self.shared.clock.now()
    }

    /// Applies an event to the gate and tells those whom it concerns.
    fn update(&self, event: impl FnOnce(&mut Gate, Millis) -> Vec<Action>) {
        let now = self.now();
        let mut queue = self.shared.queue.write();
        let actions = event(&mut queue.gate, now);
        for action in actions {
            queue.tell(action);
        }
    }
}

impl Queue {
    /// Notes that a ticket waits.
    fn wait(&mut self, ticket: Ticket) -> async_channel::Receiver<Result<(), Refusal>> {
        let (sender, receiver) = async_channel::bounded(1);
        let at = self.waiting.partition_point(|(other, _)| *other < ticket);
        self.waiting.insert(at, (ticket, sender));
        receiver
    }

    /// Drops a ticket that no longer waits.
    fn forget(&mut self, ticket: Ticket) {
        if let Ok(at) = self.waiting.binary_search_by_key(&ticket, |(t, _)| *t) {
            self.waiting.remove(at);
        }
    }

    /// Tells a waiting ticket what the gate decided.
    fn tell(&mut self, action: Action) {
        let (ticket, answer) = match action {
            Action::Run(ticket) => (ticket, Ok(())),
            Action::Refuse { ticket, retry_after_ms, why } => {
                (ticket, Err(Refusal { retry_after_ms, why }))
            }
        };
        if let Ok(at) = self.waiting.binary_search_by_key(&ticket, |(t, _)| *t) {
            let (_, sender) = self.waiting.remove(at);
            // The receiver may be gone; its permit's drop then gives the slot back.
            let _ = sender.try_send(answer);
        }
    }
}

/// The right to run one request. Gives its slot back when finished or dropped.
#[derive(Debug)]
pub struct Permit {
    /// The request at the gate.
    ticket: Ticket,
    /// Where the slot goes back to.
    slots: Slots,
    /// Whether the gate has been told of the end.
    finished: bool,
}

impl Permit {
    /// Gives the slot back with the way in which the request ended.
    pub fn finish(mut self, end: End) {
        self.finished = true;
        let ticket = self.ticket;
        self.slots.update(|gate, now| gate.finish(now, ticket, end));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let ticket = self.ticket;
        self.slots.shared.queue.write().forget(ticket);
        self.slots.update(|gate, now| gate.cancel(now, ticket));
    }
}
