//! Connects the decision code to sockets, timers and the store.
//!
//! The worker threads of a pool share several tables. Each thread locks them in the order
//! given by [`lentilreach::process::tables`]: routing (config), roster (members), flows
//! (connections). No lock is held across an await point.

pub mod agent;
pub mod balancer;
mod follow;
mod leads;
mod node;
pub mod probe;
mod receive;
mod register;
mod traffic;

pub use agent::Agent;
pub use balancer::Balancer;
pub use node::{Dependencies, Node};

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use lentilreach::process::link::Link;
use lentilreach::process::pool::Pool;
use lentilreach::process::store::{self, Store};
use smol::Task;

use crate::process::backend::record::Record;
use crate::process::documents::Source;
use crate::process::metric;
use crate::process::roster::Role;
use crate::version::routing::Routing;

/// Timeout of a store call including its attempts, in milliseconds. A slow store takes
/// several hundred milliseconds; after a timeout, the task tries again in its next round.
const CALL_MS: u64 = 1_500;

/// Delays between the attempts of one call, in milliseconds: the first and the longest one.
/// They are long, because tasks retry on their own and every rejected call costs money during
/// an outage.
const ATTEMPT_BACKOFF_MS: (u64, u64) = (1_000, 1_000);

/// Delays of a task after a failed store call, in milliseconds: the first and the longest
/// one. A member must be listed again within two seconds after an outage of the store.
const TASK_BACKOFF_MS: (u64, u64) = (200, 1_500);

/// Settings for calls of the store. They let members be listed again within two seconds
/// after an outage.
pub fn store_settings() -> store::Settings {
    store::Settings::builder()
        .attempt_ms(CALL_MS)
        .call_ms(CALL_MS)
        .backoff_ms(ATTEMPT_BACKOFF_MS.0, ATTEMPT_BACKOFF_MS.1)
        .build()
}

/// Reacts to what the tasks that use the store find out.
trait Observer: Send + Sync + 'static {
    /// Processes a change of the active routing.
    fn routing_changed(&self, _before: &Routing, _after: &Routing) {}

    /// Processes that the node's own entry was written: what it said of the backend server
    /// before, and what it says now.
    fn record_written(&self, _before: Record, _after: Record) {}
}

/// Starts the tasks that use the store: following the operators' documents and
/// registering the process as a member.
fn start<L: Link, S: Store, D: Source>(
    pool: &Pool,
    node: &Arc<Node<L>>,
    dependencies: Dependencies<S, D>,
    role: Role,
    observer: Arc<impl Observer>,
) -> Vec<Task<()>> {
    let Dependencies { store, source } = dependencies;
    let follow = follow::run(node.clone(), store.clone(), source, role, observer.clone());
    let register = register::run(node.clone(), store, role, observer);
    vec![pool.spawn(follow), pool.spawn(register)]
}

/// Sleeps for a number of milliseconds.
async fn sleep(ms: u64) {
    Timer::after(Duration::from_millis(ms)).await;
}

/// Sends a datagram. Counts an error if the operating system doesn't accept it.
fn send_datagram<L: Link>(link: &L, to: SocketAddr, bytes: &[u8]) {
    if let Err(error) = link.send(to, bytes) {
        metric::count(&metric::SEND_ERRORS);
        log::debug!(target: "send_failed", peer:% = to, cause:% = error; "datagram could not be sent");
    }
}
