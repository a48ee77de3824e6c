//! Adds a call budget, timeouts and retries to any store.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;

use super::backoff::Backoff;
use super::budget::Budget;
use super::error::{Error, Limit, Step};
use super::settings::Settings;
use super::{
    Batch, LOCK_RANK, Lease, Range, Revision, Store, Txn, TxnResult, Watch as _,
};
use crate::process::clock::{Clock, Millis};
use crate::process::lock::Ranked;
use crate::process::name::Name;

/// The decision after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The call is tried again.
    Retry {
        /// Delay before the next attempt, in milliseconds.
        after_ms: u64,
    },
    /// The error is returned to the caller.
    GiveUp,
}

/// Decides whether to retry after a failed attempt, with `left_ms` milliseconds left for the
/// call.
///
/// A change with an unknown outcome is never retried: only the caller can read back whether it
/// took effect.
pub fn decide(
    error: &Error,
    backoff: &mut Backoff,
    left_ms: u64,
    random: u64,
) -> Decision {
    let is_budget = matches!(error, Error::Throttled { limit: Limit::Budget, .. });
    if !error.is_transient() || is_budget {
        return Decision::GiveUp;
    }
    let after_ms = backoff.next(random);
    if after_ms < left_ms { Decision::Retry { after_ms } } else { Decision::GiveUp }
}

/// A store whose calls are limited by a budget and retried where that is safe.
///
/// All clones share the budget, so a process creates one and clones it.
#[derive(Debug, Clone)]
pub struct Retry<S> {
    /// The store that executes the attempts.
    store: S,
    /// The state that all clones share.
    shared: Arc<Shared>,
}

/// The state that all clones share.
#[derive(Debug)]
struct Shared {
    /// Timeouts and delays.
    settings: Settings,
    /// The clock of the budget and the timeouts.
    clock: Clock,
    /// Limits the rate of attempts.
    budget: Ranked<Budget>,
}

impl<S: Store> Retry<S> {
    /// Wraps a store with a budget, timeouts and retries.
    pub fn new(store: S, settings: Settings) -> Self {
        let budget = Budget::new(settings.rate, settings.burst);
        let budget = Ranked::new(LOCK_RANK, budget);
        let shared = Shared { settings, clock: Clock::new(), budget };
        Self { store, shared: Arc::new(shared) }
    }

    /// Executes a call, with retries while [`decide`] allows them.
    async fn run<T, F>(
        &self,
        step: Step,
        attempt: impl Fn() -> F + Send,
    ) -> Result<T, Error>
    where
        T: Send,
        F: Future<Output = Result<T, Error>> + Send,
    {
        let start = self.shared.clock.now();
        let mut backoff = self.backoff();
        loop {
            let left_ms = self.left(start);
            let error = match self.attempt(step, left_ms, attempt()).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            let random = fastrand::u64(..);
            match decide(&error, &mut backoff, self.left(start), random) {
                Decision::Retry { after_ms } => sleep(after_ms).await,
                Decision::GiveUp => return Err(error),
            }
        }
    }

    /// Executes one attempt within the budget and `left_ms` milliseconds.
    async fn attempt<T: Send>(
        &self,
        step: Step,
        left_ms: u64,
        call: impl Future<Output = Result<T, Error>> + Send,
    ) -> Result<T, Error> {
        let waited_ms = self.admit(step, left_ms).await?;
        let timeout_ms = self.shared.settings.attempt_ms.min(left_ms - waited_ms).max(1);
        metrics::counter!("lentilreach_store_calls", "step" => step.as_str())
            .increment(1);
        let timeout = async {
            sleep(timeout_ms).await;
            Err(self.timeout_error(step, timeout_ms))
        };
        let answer = future::or(call, timeout).await;
        if let Err(error) = &answer {
            let labels = [("step", step.as_str()), ("error", error.as_str())];
            metrics::counter!("lentilreach_store_errors", &labels).increment(1);
        }
        answer
    }

    /// Waits until the budget allows a call; returns the wait in milliseconds.
    async fn admit(&self, step: Step, max_wait_ms: u64) -> Result<u64, Error> {
        let now = self.shared.clock.now();
        let reserved = self.shared.budget.write().reserve(now, max_wait_ms);
        let wait_ms = reserved.map_err(|_| Error::Throttled {
            step,
            peer: self.peer(),
            limit: Limit::Budget,
        })?;
        if wait_ms > 0 {
            sleep(wait_ms).await;
        }
        Ok(wait_ms)
    }

    /// The error of an attempt that timed out.
    fn timeout_error(&self, step: Step, after_ms: u64) -> Error {
        let peer = self.peer();
        if step.is_repeatable() {
            return Error::Timeout { step, peer, after_ms };
        }
        Error::Unknown { step, peer, cause: format!("no answer for {after_ms} ms") }
    }

    /// The time left for a call that began at `start`, in milliseconds.
    fn left(&self, start: Millis) -> u64 {
        let spent_ms = self.shared.clock.now().since(start);
        self.shared.settings.call_ms.saturating_sub(spent_ms)
    }

    /// A backoff with the delays of the settings.
    fn backoff(&self) -> Backoff {
        let settings = &self.shared.settings;
        Backoff::new(settings.backoff_ms, settings.backoff_cap_ms)
    }
}

impl<S: Store> Store for Retry<S> {
    type Watch = Watch<S>;

    fn peer(&self) -> Name {
        self.store.peer()
    }

    fn era(&self) -> u64 {
        self.store.era()
    }

    async fn range(&self, prefix: &str) -> Result<Range, Error> {
        self.run(Step::Range, || self.store.range(prefix)).await
    }

    async fn range_stale(&self, prefix: &str) -> Result<Range, Error> {
        self.run(Step::Range, || self.store.range_stale(prefix)).await
    }

    async fn write(&self, txn: Txn) -> Result<TxnResult, Error> {
        self.run(Step::Write, || self.store.write(txn.clone())).await
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        self.run(Step::Grant, || self.store.grant(ttl)).await
    }

    async fn keep(&self, lease: Lease) -> Result<Duration, Error> {
        self.run(Step::Keep, || self.store.keep(lease)).await
    }

    async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        self.run(Step::Revoke, || self.store.revoke(lease)).await
    }

    async fn watch(&self, prefix: &str, from: Revision) -> Result<Watch<S>, Error> {
        let open = self.run(Step::Watch, || self.store.watch(prefix, from)).await?;
        Ok(Watch {
            retry: self.clone(),
            prefix: prefix.into(),
            from,
            open: Some(open),
            backoff: self.backoff(),
            not_before: Millis(0),
            max_wait: None,
        })
    }
}

/// A watch that reopens after an error, without missing or repeating a change.
///
/// Each error is returned once, and the next call reopens the watch after a delay. After
/// [`Error::Compacted`], the watch cannot continue.
#[derive(Debug)]
pub struct Watch<S: Store> {
    /// The store in which the watch is opened.
    retry: Retry<S>,
    /// The prefix of the watched keys.
    prefix: Name,
    /// First revision that has not been reported.
    from: Revision,
    /// The store's watch; `None` after an error.
    open: Option<S::Watch>,
    /// Delays before the watch is reopened.
    backoff: Backoff,
    /// Earliest time at which the watch may be reopened.
    not_before: Millis,
    /// Limit of [`super::Watch::limit_wait`], if there is one.
    max_wait: Option<Duration>,
}

impl<S: Store> super::Watch for Watch<S> {
    async fn next(&mut self) -> Result<Batch, Error> {
        match self.advance().await {
            Ok(batch) => {
                self.from = batch.revision.next();
                self.backoff.reset();
                Ok(batch)
            }
            Err(error) => {
                self.open = None;
                let delay_ms = self.backoff.next(fastrand::u64(..));
                self.not_before = self.retry.shared.clock.now().after(delay_ms);
                Err(error)
            }
        }
    }

    fn limit_wait(&mut self, max: Duration) {
        self.max_wait = Some(max);
        if let Some(open) = &mut self.open {
            open.limit_wait(max);
        }
    }
}

impl<S: Store> Watch<S> {
    /// Reopens the watch if necessary and waits for changes.
    async fn advance(&mut self) -> Result<Batch, Error> {
        if self.open.is_none() {
            sleep(self.not_before.since(self.retry.shared.clock.now())).await;
            let call_ms = self.retry.shared.settings.call_ms;
            let call = self.retry.store.watch(&self.prefix, self.from);
            let mut open = self.retry.attempt(Step::Watch, call_ms, call).await?;
            if let Some(max_wait) = self.max_wait {
                open.limit_wait(max_wait);
            }
            self.open = Some(open);
        }
        match &mut self.open {
            Some(open) => open.next().await,
            // Unreachable: the watch was opened above.
            None => Ok(Batch::default()),
        }
    }
}

/// Sleeps without blocking the worker thread.
async fn sleep(ms: u64) {
    Timer::after(Duration::from_millis(ms)).await;
}
