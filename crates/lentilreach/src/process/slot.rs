//! Asynchronous access to the concurrency limiter for request tasks.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::process::clock::{Clock, Millis};
use crate::process::lock::Ranked;
use crate::process::tables::SLOTS;
use crate::request::admit::{Action, Admission, End, Limiter, Limits, Reason, RequestId};

/// The concurrency limiter of a backend server, shared by request tasks.
#[derive(Debug, Clone)]
pub struct Slots {
    /// Shared by all clones.
    shared: Arc<Shared>,
}

/// State of [`Slots`].
#[derive(Debug)]
struct Shared {
    /// The limiter and the tasks waiting for it.
    queue: Ranked<Queue>,
    /// Identifier of the next request.
    next_id: AtomicU64,
    /// The clock of the limiter.
    clock: Clock,
}

/// The limiter and the tasks waiting for it.
#[derive(Debug)]
struct Queue {
    /// Decides which requests run.
    limiter: Limiter,
    /// The queued requests, sorted by identifier. Each sender receives the limiter's decision.
    waiting: Vec<(RequestId, async_channel::Sender<Result<(), Refusal>>)>,
}

/// A refusal of a request, none of which was sent to the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Delay after which to retry, in milliseconds.
    pub retry_after_ms: u64,
    /// The reason.
    pub reason: Reason,
}

impl Refusal {
    /// Retry delay when the connection to the backend server cannot be opened, in
    /// milliseconds.
    const RETRY_AFTER_MS: u64 = 1_000;

    /// The refusal when the connection to the backend server cannot be opened.
    pub fn connection_refused() -> Self {
        Self { retry_after_ms: Self::RETRY_AFTER_MS, reason: Reason::Cold }
    }
}

impl Slots {
    /// Creates slots with a new limiter.
    pub fn new(limits: Limits, clock: Clock) -> Self {
        let queue =
            Queue { limiter: Limiter::new(limits, clock.now()), waiting: Vec::new() };
        let queue = Ranked::new(SLOTS, queue);
        Self { shared: Arc::new(Shared { queue, next_id: AtomicU64::new(0), clock }) }
    }

    /// Waits for a slot until the deadline.
    ///
    /// # Errors
    /// If the limiter refuses the request; nothing was sent to the backend server then.
    pub async fn acquire(&self, deadline: Millis) -> Result<Permit, Refusal> {
        let request_id = RequestId(self.shared.next_id.fetch_add(1, Ordering::Relaxed));
        let receiver = {
            let mut queue = self.shared.queue.write();
            match queue.limiter.admit(self.now(), request_id, deadline) {
                Admission::Run => None,
                Admission::Wait => Some(queue.enqueue(request_id)),
                Admission::Refuse { retry_after_ms, reason } => {
                    return Err(Refusal { retry_after_ms, reason });
                }
            }
        };
        // From here on, the permit releases the slot or queue entry if the task is cancelled.
        let mut permit = Permit { request_id, slots: self.clone(), finished: false };
        if let Some(receiver) = receiver {
            let result = receiver.recv().await;
            if let Ok(Err(refusal)) = result {
                permit.finished = true;
                return Err(refusal);
            }
        }
        Ok(permit)
    }

    /// Handles deadlines and overdue requests.
    pub fn tick(&self) {
        self.update(|limiter, now| limiter.tick(now));
    }

    /// Records that the backend server closed its connections.
    pub fn connections_closed(&self) {
        self.update(|limiter, now| limiter.connections_closed(now));
    }

    /// Replaces the limits. Running requests continue.
    pub fn set_limits(&self, limits: Limits) {
        self.shared.queue.write().limiter.set_limits(limits);
    }

    /// Sets whether the backend server is draining; see [`Limiter::set_draining`].
    pub fn set_draining(&self, draining: bool) {
        self.shared.queue.write().limiter.set_draining(draining);
    }

    /// Number of running requests.
    pub fn busy(&self) -> u16 {
        self.shared.queue.read().limiter.busy()
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> u16 {
        self.shared.queue.read().limiter.waiting()
    }

    /// Current limit on concurrent requests.
    pub fn limit(&self) -> u16 {
        self.shared.queue.read().limiter.limit(self.now())
    }

    /// Whether the backend server is assumed to be cold.
    pub fn is_cold(&self) -> bool {
        self.shared.queue.read().limiter.is_cold(self.now())
    }

    /// The current time of the limiter.
    fn now(&self) -> Millis {
        self.shared.clock.now()
    }

    /// Applies an event to the limiter and notifies the affected tasks.
    fn update(&self, event: impl FnOnce(&mut Limiter, Millis) -> Vec<Action>) {
        let now = self.now();
        let mut queue = self.shared.queue.write();
        let actions = event(&mut queue.limiter, now);
        for action in actions {
            queue.notify(action);
        }
    }
}

impl Queue {
    /// Registers a queued request; the receiver gets the limiter's decision.
    fn enqueue(
        &mut self,
        request_id: RequestId,
    ) -> async_channel::Receiver<Result<(), Refusal>> {
        let (sender, receiver) = async_channel::bounded(1);
        let at = self.waiting.partition_point(|(other, _)| *other < request_id);
        self.waiting.insert(at, (request_id, sender));
        receiver
    }

    /// Removes a request that is no longer queued.
    fn remove(&mut self, request_id: RequestId) {
        if let Ok(at) = self.waiting.binary_search_by_key(&request_id, |(id, _)| *id) {
            self.waiting.remove(at);
        }
    }

    /// Notifies a queued request of the limiter's decision.
    fn notify(&mut self, action: Action) {
        let (request_id, result) = match action {
            Action::Run(request_id) => (request_id, Ok(())),
            Action::Refuse { request_id, retry_after_ms, reason } => {
                (request_id, Err(Refusal { retry_after_ms, reason }))
            }
        };
        if let Ok(at) = self.waiting.binary_search_by_key(&request_id, |(id, _)| *id) {
            let (_, sender) = self.waiting.remove(at);
            // The receiver may be gone; dropping its permit then releases the slot.
            let _ = sender.try_send(result);
        }
    }
}

/// Permission to run one request. Releases the slot when finished or dropped.
#[derive(Debug)]
pub struct Permit {
    /// Identifies the request at the limiter.
    request_id: RequestId,
    /// The slots that it belongs to.
    slots: Slots,
    /// Whether the limiter knows that the request ended.
    finished: bool,
}

impl Permit {
    /// Releases the slot and reports how the request ended.
    pub fn finish(mut self, end: End) {
        self.finished = true;
        let request_id = self.request_id;
        self.slots.update(|limiter, now| limiter.finish(now, request_id, end));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let request_id = self.request_id;
        self.slots.shared.queue.write().remove(request_id);
        self.slots.update(|limiter, now| limiter.cancel(now, request_id));
    }
}
