//! Runs the decisions over sockets, timers and the store.
//!
//! Tables are shared by the workers of a pool. A thread takes their locks in the order of
//! [`lentilreach::process::tables`]: routing (config), roster (members), flows (connections).
//! No lock is held over an await.

pub mod agent;
pub mod balancer;
mod follow;
mod node;
mod receive;
mod register;

pub use agent::Agent;
pub use balancer::Balancer;
pub use node::{Node, Outside};

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use lentilreach::process::link::Link;
use lentilreach::process::pool::Pool;
use lentilreach::process::store::{self, Store};
use smol::Task;

use crate::process::documents::Source;
use crate::process::metric;
use crate::process::roster::Role;
use crate::version::routing::Routing;

/// Time for one call of the store with its attempts, in milliseconds. A slow store takes some
/// hundred; what waits for the call is done again in the next round.
const CALL_MS: u64 = 1_500;

/// Delays between the attempts of one call, in milliseconds: the first and the longest. Tasks
/// call again by themselves, and while the store is away each refused call is paid for.
const ATTEMPT_BACKOFF_MS: (u64, u64) = (1_000, 1_000);

/// Delays of a task after an error of the store, in milliseconds: the first and the longest. An
/// entry must be back within two seconds of the store's return.
const TASK_BACKOFF_MS: (u64, u64) = (200, 1_500);

/// How the store is called. Members must be listed again two seconds after its return.
pub fn calls() -> store::Settings {
    store::Settings::builder()
        .attempt_ms(CALL_MS)
        .call_ms(CALL_MS)
        .backoff_ms(ATTEMPT_BACKOFF_MS.0, ATTEMPT_BACKOFF_MS.1)
        .build()
}

/// Starts what both daemons do beside forwarding: following the operators' documents and
/// being listed in the store.
fn start<L: Link, S: Store, D: Source>(
    pool: &Pool,
    node: &Arc<Node<L>>,
    outside: Outside<S, D>,
    role: Role,
    routing_changed: impl Fn(&Routing, &Routing) + Send + Sync + 'static,
) -> Vec<Task<()>> {
    let Outside { store, source } = outside;
    let follow = follow::run(node.clone(), store.clone(), source, role, routing_changed);
    let register = register::run(node.clone(), store, role);
    vec![pool.spawn(follow), pool.spawn(register)]
}

/// Waits.
async fn sleep(ms: u64) {
    Timer::after(Duration::from_millis(ms)).await;
}

/// Sends a datagram; one that the system does not take is counted.
fn send_datagram<L: Link>(link: &L, to: SocketAddr, bytes: &[u8]) {
    if let Err(error) = link.send(to, bytes) {
        metric::count(&metric::SEND_ERRORS);
        log::debug!(target: "send_failed", peer:% = to, cause:% = error; "datagram could not be sent");
    }
}
