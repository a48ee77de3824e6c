//! Keeps the routing in force current with the store.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future::or;
use lentilreach::process::link::Link;
use lentilreach::process::store::backoff::Backoff;
use lentilreach::process::store::follow::Follow;
use lentilreach::process::store::{Error, Store};

use super::Node;
use crate::process::documents::{Documents, Source};
use crate::version::routing::Routing;

/// Pause between two answers of a watch, in milliseconds. Each answer is a priced call, and
/// changes may come in quick succession; the pause is a sixth of the time in which a
/// configuration must be in force.
const PACE_MS: u64 = 500;

/// Time that the own watch gets to show what another node already knows, in milliseconds.
const LAG_MS: u64 = 700;

/// Delays after an error of the store, in milliseconds: the first and the longest.
const BACKOFF_MS: (u64, u64) = (100, 1_000);

/// Follows the documents until the task is cancelled.
pub async fn run<L: Link, S: Store, D: Source>(
    node: Arc<Node<L>>,
    store: S,
    source: D,
    rerouted: impl Fn(&Routing, &Routing) + Send + Sync,
) {
    let prefix = source.prefix();
    let mut documents = Documents::new(source);
    let mut follow = Follow::new(store.clone(), prefix);
    let mut backoff = Backoff::new(BACKOFF_MS.0, BACKOFF_MS.1);
    let mut is_lost = false;
    loop {
        let next = async { Some(follow.next().await) };
        let newer = async {
            node.newer().await;
            sleep(LAG_MS).await;
            None
        };
        match or(next, newer).await {
            Some(Ok(update)) => {
                backoff.reset();
                if std::mem::take(&mut is_lost) {
                    log::info!(target: "store", change = "regained", call = "watch"; "store answers");
                }
                for error in documents.apply(update) {
                    log::warn!(target: "document", key:% = error.key, cause = error.cause.as_str(); "document rejected");
                }
                enforce(&node, &documents, &rerouted);
                sleep(PACE_MS).await;
            }
            Some(Err(error)) => {
                if !std::mem::replace(&mut is_lost, true) {
                    lost(&error);
                }
                sleep(backoff.next(fastrand::u64(..))).await;
            }
            // The own watch lags or has gone deaf.
            None => follow = Follow::new(store.clone(), prefix),
        }
    }
}

/// Puts documents in force.
fn enforce<L: Link, D: Source>(
    node: &Node<L>,
    documents: &Documents<D>,
    rerouted: &impl Fn(&Routing, &Routing),
) {
    node.revision.store(documents.revision(), Ordering::Relaxed);
    let before = node.routing();
    let after = documents.routing();
    if *before == *after {
        return;
    }
    *node.routing.write() = Arc::new(after.clone());
    rerouted(&before, after);
    let cold: Vec<_> = after.services.iter().map(|service| service.cold_per_s).collect();
    log::info!(
        target: "config", version = after.version, revision = after.revision,
        routes = after.routes.len(), out:? = after.out, cold_per_s:? = cold;
        "configuration in force"
    );
}

/// Records that the store does not answer.
fn lost(error: &Error) {
    log::warn!(target: "store", change = "lost", call = "watch", cause:% = error; "store does not answer");
}

/// Waits.
async fn sleep(ms: u64) {
    Timer::after(Duration::from_millis(ms)).await;
}
