//! Shared state of a stand-in store, with fault injection.

use std::future;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use event_listener::Event;
use futures_lite::future as race;

use lentilreach::process::clock::{Clock, Millis};
use lentilreach::process::lock::Ranked;
use lentilreach::process::store::budget::Budget;
use lentilreach::process::store::{Entry, LOCK_RANK, Lease, Step, Txn, TxnResult};

use super::core::{Core, KeyRange, RequestError};
use super::counts::Counts;
use super::{Builder, watcher::Watcher};

/// Reads counters and injects faults, at any time and from any thread.
#[derive(Debug, Clone)]
pub struct Handle {
    /// State shared by all clones.
    shared: Arc<Shared>,
}

/// How the store is unavailable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outage {
    /// Open connections are closed and new ones refused.
    Refuse,
    /// Connections stay open, but calls get no response until the store is restored.
    Hang,
}

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallError {
    /// The store is unavailable, or the connection was closed.
    Unavailable,
    /// The call took effect, but its response was lost.
    ResponseLost,
    /// The rate limit was exceeded.
    Throttled,
    /// The store rejected the request.
    Rejected(RequestError),
}

/// State shared by all clones of a [`Handle`].
#[derive(Debug)]
struct Shared {
    /// The mutable state, behind a lock.
    state: Ranked<State>,
    /// Notified when state changes that a call or watch may be waiting for.
    changed: Event,
}

/// The mutable state of the store.
#[derive(Debug)]
struct State {
    /// Keys, leases and history.
    core: Core,
    /// Call counters.
    counts: Counts,
    /// Rate limit of transactions and lease calls.
    writes: Budget,
    /// Rate limit of reads and new watches.
    reads: Budget,
    /// The system clock, or `None` if the store has a manual clock.
    clock: Option<Clock>,
    /// Offset added by [`Handle::advance`], in milliseconds.
    offset_ms: u64,
    /// The current outage, if any.
    outage: Option<Outage>,
    /// Delay of each response, in milliseconds.
    delay_ms: u64,
    /// Whether to drop the response to the next transaction or lease call.
    drops_next_response: bool,
    /// Incremented each time that all connections are closed.
    epoch: u64,
    /// The copy that the store comes back from, if one was taken.
    copy: Option<Core>,
}

impl Handle {
    /// Creates an empty store without faults.
    pub(super) fn new(settings: &Builder) -> Self {
        let state = State {
            core: Core::new(settings.max_value_bytes, settings.max_revisions),
            counts: Counts::default(),
            writes: Budget::new(settings.writes_per_s, settings.writes_per_s),
            reads: Budget::new(settings.reads_per_s, settings.reads_per_s),
            clock: (!settings.has_manual_clock).then(Clock::new),
            offset_ms: 0,
            outage: None,
            delay_ms: settings.delay_ms,
            drops_next_response: false,
            epoch: 0,
            copy: None,
        };
        let shared =
            Shared { state: Ranked::new(LOCK_RANK, state), changed: Event::new() };
        Self { shared: Arc::new(shared) }
    }

    /// The call counters so far.
    pub fn counts(&self) -> Counts {
        self.shared.state.read().counts
    }

    /// The latest revision.
    pub fn revision(&self) -> u64 {
        self.update(|state| state.core.revision())
    }

    /// The entry of a key. Not counted and not subject to faults.
    pub fn get(&self, key: &str) -> Option<Entry> {
        self.update(|state| state.core.get(key).cloned())
    }

    /// The lease that a key is attached to. Not counted and not subject to faults.
    pub fn lease(&self, key: &str) -> Option<Lease> {
        self.update(|state| state.core.lease(key))
    }

    /// Runs a transaction on behalf of another client. Not counted and not subject to faults.
    ///
    /// # Errors
    /// Returns an error if the request is invalid or names a lease that has expired.
    pub fn write(&self, txn: &Txn) -> Result<TxnResult, RequestError> {
        self.update(|state| state.core.write(txn))
    }

    /// Makes the store unavailable until [`Self::end_outage`].
    pub fn start_outage(&self, outage: Outage) {
        self.update(|state| {
            state.outage = Some(outage);
            state.epoch += u64::from(outage == Outage::Refuse);
        });
    }

    /// Ends an outage.
    pub fn end_outage(&self) {
        self.update(|state| state.outage = None);
    }

    /// Delays each response by `ms` milliseconds; 0 disables the delay.
    pub fn set_delay_ms(&self, ms: u64) {
        self.update(|state| state.delay_ms = ms);
    }

    /// Drops the response to the next transaction or lease call after it took effect.
    ///
    /// A client over sockets sees its connection close.
    pub fn drop_next_response(&self) {
        self.update(|state| state.drops_next_response = true);
    }

    /// Closes all connections and watches. New ones are accepted immediately.
    pub fn close_connections(&self) {
        self.update(|state| state.epoch += 1);
    }

    /// Ends a lease without its holder's involvement; returns whether it existed.
    pub fn expire_lease(&self, lease: Lease) -> bool {
        self.update(|state| state.core.revoke(lease).is_ok())
    }

    /// Compacts the history before the latest revision.
    pub fn compact(&self) {
        self.update(|state| state.core.compact());
    }

    /// How often the store has come back from a copy.
    pub fn era(&self) -> u64 {
        self.shared.state.read().core.era()
    }

    /// Takes a copy for [`Self::return_to_copy`].
    pub fn take_copy(&self) {
        self.update(|state| state.copy = Some(state.core.clone()));
    }

    /// Lets the store come back from the copy: what was written since is gone. Closes all
    /// connections and watches.
    ///
    /// # Panics
    /// If no copy was taken.
    pub fn return_to_copy(&self) {
        self.update(|state| {
            let copy = state.copy.as_ref().expect("a copy was taken");
            state.core.restore(copy);
            state.epoch += 1;
        });
    }

    /// Advances the time that leases and rate limits use.
    pub fn advance(&self, ms: u64) {
        self.update(|state| state.offset_ms += ms);
    }

    /// Executes a client call: counted, rate limited and subject to faults.
    pub(super) async fn call<T>(
        &self,
        step: Step,
        run: impl FnOnce(&mut Core, Millis) -> Result<T, RequestError>,
    ) -> Result<T, CallError> {
        if self.is_refusing() {
            // Not counted: without a connection, the call does not reach the store.
            return Err(CallError::Unavailable);
        }
        self.shared.state.write().counts.add(step);
        self.wait_until_reachable().await?;
        self.update(|state| {
            // An outage may have started during the delay.
            if state.outage.is_some() {
                return Err(CallError::Unavailable);
            }
            let now = state.now();
            let limit = if is_read(step) { &mut state.reads } else { &mut state.writes };
            if limit.reserve(now, 0).is_err() {
                state.counts.throttled += 1;
                return Err(CallError::Throttled);
            }
            let response = run(&mut state.core, now).map_err(CallError::Rejected)?;
            if !is_read(step) && std::mem::take(&mut state.drops_next_response) {
                return Err(CallError::ResponseLost);
            }
            Ok(response)
        })
    }

    /// Opens a watch as a client.
    pub(super) async fn watch(
        &self,
        key_range: KeyRange,
        from: u64,
    ) -> Result<Watcher, CallError> {
        let epoch = self.epoch();
        let check = |core: &mut Core, _| {
            // Start revision 0 means "changes after the current revision".
            let from = if from == 0 { core.revision() + 1 } else { from };
            core.changes_since(&key_range, from).map(|_| from)
        };
        let from = self.call(Step::Watch, check).await?;
        Ok(Watcher::new(self.clone(), key_range, from, epoch))
    }

    /// Waits while the store hangs, then for the response delay.
    async fn wait_until_reachable(&self) -> Result<(), CallError> {
        loop {
            let changed = self.shared.changed.listen();
            let (outage, delay_ms) = {
                let state = self.shared.state.read();
                (state.outage, state.delay_ms)
            };
            match outage {
                Some(Outage::Refuse) => return Err(CallError::Unavailable),
                Some(Outage::Hang) => changed.await,
                None if delay_ms == 0 => return Ok(()),
                None => {
                    Timer::after(Duration::from_millis(delay_ms)).await;
                    return Ok(());
                }
            }
        }
    }

    /// Incremented each time that all connections are closed.
    pub(super) fn epoch(&self) -> u64 {
        self.shared.state.read().epoch
    }

    /// Whether connections are refused.
    pub(super) fn is_refusing(&self) -> bool {
        self.shared.state.read().outage == Some(Outage::Refuse)
    }

    /// Waits until `done` returns true.
    pub(super) async fn wait_until(&self, done: impl Fn(&Self) -> bool) {
        loop {
            let changed = self.shared.changed.listen();
            if done(self) {
                return;
            }
            changed.await;
        }
    }

    /// Waits until `poll` returns a value. Calls it on each change and when a lease expires.
    pub(super) async fn wait_for<T>(
        &self,
        poll: impl Fn(&Core) -> Result<Option<T>, RequestError>,
        epoch: u64,
    ) -> Result<T, CallError> {
        loop {
            let changed = self.shared.changed.listen();
            let (found, timeout) = self.update(|state| {
                if state.epoch != epoch {
                    return Err(CallError::Unavailable);
                }
                let found = match state.outage {
                    None => poll(&state.core).map_err(CallError::Rejected)?,
                    Some(_) => None,
                };
                Ok((found, state.until_next_expiry()))
            })?;
            if let Some(found) = found {
                self.wait_until_reachable().await?;
                return Ok(found);
            }
            let expiry = async {
                match timeout {
                    Some(timeout) => drop(Timer::after(timeout).await),
                    None => future::pending().await,
                }
            };
            race::or(changed, expiry).await;
        }
    }

    /// Counts a watch as opened or closed.
    pub(super) fn count_watch(&self, is_open: bool) {
        let open_watches = &mut self.shared.state.write().counts.open_watches;
        *open_watches = if is_open { *open_watches + 1 } else { *open_watches - 1 };
    }

    /// Expires leases, accesses the state, and notifies waiters if [`Wakeup`] has changed.
    fn update<T>(&self, update: impl FnOnce(&mut State) -> T) -> T {
        let (result, must_notify) = {
            let mut state = self.shared.state.write();
            let before = state.wakeup();
            state.expire();
            let result = update(&mut state);
            (result, state.wakeup() != before)
        };
        if must_notify {
            self.shared.changed.notify(usize::MAX);
        }
        result
    }
}

impl State {
    /// The current time of leases and rate limits.
    fn now(&self) -> Millis {
        self.clock.map_or(Millis(0), |clock| clock.now()).after(self.offset_ms)
    }

    /// Expires the leases whose time to live has passed.
    fn expire(&mut self) {
        let now = self.now();
        self.core.expire(now);
    }

    /// The parts of the state that waiting calls and watches depend on.
    fn wakeup(&self) -> Wakeup {
        Wakeup {
            revision: self.core.revision(),
            next_expiry: self.core.next_expiry(),
            outage: self.outage,
            epoch: self.epoch,
            offset_ms: self.offset_ms,
        }
    }

    /// Time until the next lease expires, or `None` if there is none or the clock is manual.
    fn until_next_expiry(&self) -> Option<Duration> {
        self.clock?;
        let end = self.core.next_expiry()?;
        Some(Duration::from_millis(end.since(self.now())))
    }
}

/// The parts of the state that waiting calls and watches depend on.
#[derive(Debug, PartialEq, Eq)]
struct Wakeup {
    /// The latest revision.
    revision: u64,
    /// When the next lease expires.
    next_expiry: Option<Millis>,
    /// The current outage, if any.
    outage: Option<Outage>,
    /// Incremented each time that all connections are closed.
    epoch: u64,
    /// Offset added by [`Handle::advance`], in milliseconds.
    offset_ms: u64,
}

/// Whether a call counts towards the limit of reads.
fn is_read(step: Step) -> bool {
    matches!(step, Step::Range | Step::Watch)
}
