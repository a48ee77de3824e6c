//! The shared state of a stand-in store, and the switches for its faults.

use std::future;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use event_listener::Event;
use futures_lite::future as race;

use lentilreach::process::clock::{Clock, Millis};
use lentilreach::process::lock::Ranked;
use lentilreach::process::store::budget::Budget;
use lentilreach::process::store::{Entry, Lease, RANK, Step, Txn, Written};

use super::core::{Core, Refusal, Span};
use super::counts::Counts;
use super::{Builder, cursor::Cursor};

/// Reads counts and switches faults on and off, at any moment and from any thread.
#[derive(Debug, Clone)]
pub struct Handle {
    /// What clones share.
    shared: Arc<Shared>,
}

/// How the store is away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Away {
    /// Connections are closed and new ones refused.
    Refuse,
    /// Connections stay open, but no call is answered until the store is back.
    Hang,
}

/// Why a call gets no regular answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    /// The store is away, or the connection was cut.
    Away,
    /// The call took effect, but its answer is lost.
    Lost,
    /// Too many calls.
    Throttled,
    /// The store answers that it refuses.
    Refused(Refusal),
}

/// What clones of a handle share.
#[derive(Debug)]
struct Shared {
    /// Everything that changes.
    state: Ranked<State>,
    /// Notified on each change of the state that someone may wait for.
    changed: Event,
}

/// Everything that changes.
#[derive(Debug)]
struct State {
    /// Keys, leases and history.
    core: Core,
    /// What was counted.
    counts: Counts,
    /// Limits transactions and lease calls.
    writes: Budget,
    /// Limits reads and new watches.
    reads: Budget,
    /// The clock; none if time only moves by hand.
    clock: Option<Clock>,
    /// Time added by hand, in milliseconds.
    added_ms: u64,
    /// How the store is away, if it is.
    away: Option<Away>,
    /// Delay of each answer, in milliseconds.
    delay_ms: u64,
    /// Whether the answer to the next change is lost.
    is_losing: bool,
    /// Number of times that all connections were cut.
    epoch: u64,
}

impl Handle {
    /// An empty store without faults.
    pub(super) fn new(settings: &Builder) -> Self {
        let state = State {
            core: Core::new(settings.value, settings.history),
            counts: Counts::default(),
            writes: Budget::new(settings.writes, settings.writes),
            reads: Budget::new(settings.reads, settings.reads),
            clock: (!settings.is_manual).then(Clock::new),
            added_ms: 0,
            away: None,
            delay_ms: settings.delay_ms,
            is_losing: false,
            epoch: 0,
        };
        let shared = Shared { state: Ranked::new(RANK, state), changed: Event::new() };
        Self { shared: Arc::new(shared) }
    }

    /// What was counted so far.
    pub fn counts(&self) -> Counts {
        self.shared.state.read().counts
    }

    /// The last revision.
    pub fn revision(&self) -> u64 {
        self.change(|state| state.core.revision())
    }

    /// The entry of a key. Not counted, no faults.
    pub fn get(&self, key: &str) -> Option<Entry> {
        self.change(|state| state.core.get(key).cloned())
    }

    /// The lease that a key is attached to. Not counted, no faults.
    pub fn lease(&self, key: &str) -> Option<Lease> {
        self.change(|state| state.core.lease(key))
    }

    /// Writes as another client does. Not counted, no faults.
    ///
    /// # Errors
    /// If the request breaks a rule or names a lease that has ended.
    pub fn write(&self, txn: &Txn) -> Result<Written, Refusal> {
        self.change(|state| state.core.write(txn))
    }

    /// Takes the store away until [`back`](Self::back).
    pub fn away(&self, away: Away) {
        self.change(|state| {
            state.away = Some(away);
            state.epoch += u64::from(away == Away::Refuse);
        });
    }

    /// Brings the store back.
    pub fn back(&self) {
        self.change(|state| state.away = None);
    }

    /// Delays each answer by `ms` milliseconds; 0 ends that.
    pub fn slow(&self, ms: u64) {
        self.change(|state| state.delay_ms = ms);
    }

    /// Loses the answer to the next transaction or lease call after it took effect.
    ///
    /// Over sockets, the connection of the call breaks.
    pub fn lose(&self) {
        self.change(|state| state.is_losing = true);
    }

    /// Cuts all connections and watches; new ones are accepted at once.
    pub fn cut(&self) {
        self.change(|state| state.epoch += 1);
    }

    /// Ends a lease without its holder; returns whether there was one.
    pub fn lapse(&self, lease: Lease) -> bool {
        self.change(|state| state.core.revoke(lease).is_ok())
    }

    /// Forgets the history before the last revision.
    pub fn compact(&self) {
        self.change(|state| state.core.compact());
    }

    /// Moves the time of leases and rates forward.
    pub fn advance(&self, ms: u64) {
        self.change(|state| state.added_ms += ms);
    }

    /// Makes a call as a client: counted, limited and subject to faults.
    pub(super) async fn call<T>(
        &self,
        step: Step,
        run: impl FnOnce(&mut Core, Millis) -> Result<T, Refusal>,
    ) -> Result<T, Fault> {
        if self.is_refusing() {
            // Without a connection, no call reaches the store.
            return Err(Fault::Away);
        }
        self.shared.state.write().counts.add(step);
        self.reach().await?;
        self.change(|state| {
            // The store may have gone away during a delay.
            if state.away.is_some() {
                return Err(Fault::Away);
            }
            let now = state.now();
            let limit = if is_read(step) { &mut state.reads } else { &mut state.writes };
            if limit.reserve(now, 0).is_err() {
                state.counts.throttled += 1;
                return Err(Fault::Throttled);
            }
            let answer = run(&mut state.core, now).map_err(Fault::Refused)?;
            if !is_read(step) && std::mem::take(&mut state.is_losing) {
                return Err(Fault::Lost);
            }
            Ok(answer)
        })
    }

    /// Opens a watch as a client.
    pub(super) async fn watch(&self, span: Span, from: u64) -> Result<Cursor, Fault> {
        let epoch = self.epoch();
        let check = |core: &mut Core, _| {
            // Revision 0 stands for changes from now on.
            let from = if from == 0 { core.revision() + 1 } else { from };
            core.since(&span, from).map(|_| from)
        };
        let from = self.call(Step::Watch, check).await?;
        Ok(Cursor::new(self.clone(), span, from, epoch))
    }

    /// Waits until the store can be reached, then for its delay.
    async fn reach(&self) -> Result<(), Fault> {
        loop {
            let changed = self.shared.changed.listen();
            let (away, delay_ms) = {
                let state = self.shared.state.read();
                (state.away, state.delay_ms)
            };
            match away {
                Some(Away::Refuse) => return Err(Fault::Away),
                Some(Away::Hang) => changed.await,
                None if delay_ms == 0 => return Ok(()),
                None => {
                    Timer::after(Duration::from_millis(delay_ms)).await;
                    return Ok(());
                }
            }
        }
    }

    /// Number of times that all connections were cut.
    pub(super) fn epoch(&self) -> u64 {
        self.shared.state.read().epoch
    }

    /// Whether connections are refused.
    pub(super) fn is_refusing(&self) -> bool {
        self.shared.state.read().away == Some(Away::Refuse)
    }

    /// Waits until `done` holds.
    pub(super) async fn until(&self, done: impl Fn(&Self) -> bool) {
        loop {
            let changed = self.shared.changed.listen();
            if done(self) {
                return;
            }
            changed.await;
        }
    }

    /// Waits until `poll` gives a value; calls it on each change and when a lease ends.
    pub(super) async fn wait<T>(
        &self,
        poll: impl Fn(&Core) -> Result<Option<T>, Refusal>,
        epoch: u64,
    ) -> Result<T, Fault> {
        loop {
            let changed = self.shared.changed.listen();
            let (found, wait) = self.change(|state| {
                if state.epoch != epoch {
                    return Err(Fault::Away);
                }
                let found = match state.away {
                    None => poll(&state.core).map_err(Fault::Refused)?,
                    Some(_) => None,
                };
                Ok((found, state.until_next_end()))
            })?;
            if let Some(found) = found {
                self.reach().await?;
                return Ok(found);
            }
            let expiry = async {
                match wait {
                    Some(wait) => drop(Timer::after(wait).await),
                    None => future::pending().await,
                }
            };
            race::or(changed, expiry).await;
        }
    }

    /// Counts a watch as waiting, or no longer.
    pub(super) fn add_waiting(&self, is_waiting: bool) {
        let waiting = &mut self.shared.state.write().counts.waiting;
        *waiting = if is_waiting { *waiting + 1 } else { *waiting - 1 };
    }

    /// Looks at or changes the state and wakes those who wait if that concerns them.
    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let (result, is_news) = {
            let mut state = self.shared.state.write();
            let before = state.news();
            state.expire();
            let result = change(&mut state);
            (result, state.news() != before)
        };
        if is_news {
            self.shared.changed.notify(usize::MAX);
        }
        result
    }
}

impl State {
    /// The time.
    fn now(&self) -> Millis {
        self.clock.map_or(Millis(0), |clock| clock.now()).after(self.added_ms)
    }

    /// Ends the leases whose time is over.
    fn expire(&mut self) {
        let now = self.now();
        self.core.expire(now);
    }

    /// What those who wait depend on.
    fn news(&self) -> News {
        News {
            revision: self.core.revision(),
            next_end: self.core.next_end(),
            away: self.away,
            epoch: self.epoch,
            added_ms: self.added_ms,
        }
    }

    /// How long until the next lease ends; none if only [`Handle::advance`] can end one.
    fn until_next_end(&self) -> Option<Duration> {
        self.clock?;
        let end = self.core.next_end()?;
        Some(Duration::from_millis(end.since(self.now())))
    }
}

/// What those who wait depend on.
#[derive(Debug, PartialEq, Eq)]
struct News {
    /// The last revision.
    revision: u64,
    /// When the next lease ends.
    next_end: Option<Millis>,
    /// How the store is away.
    away: Option<Away>,
    /// Number of times that all connections were cut.
    epoch: u64,
    /// Time added by hand.
    added_ms: u64,
}

/// Whether a call counts towards the limit of reads.
fn is_read(step: Step) -> bool {
    matches!(step, Step::Range | Step::Watch)
}
