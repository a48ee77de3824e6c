//! A target of a running deployment: a backend server with its agent.

use std::time::{Duration, Instant};

use async_io::Timer;
use lentilreach::process::admin::Source as _;
use lentilreach::process::control::Agent;
use lentilreach::process::event::Drain;
use parking_lot::Mutex;

use crate::backend::Backend;
use crate::loopback::Link;

/// Maximum duration of a drain. Exceeds the callers' think time, so that all of them
/// move to other backend servers in time.
pub const MAX_DRAIN: Duration = Duration::from_millis(4_000);

/// Minimum duration of a drain. Until all balancers know of the drain, the agent must hand on
/// the flows that they still offer.
const MIN_DRAIN: Duration = Duration::from_secs(3);

/// Interval at which the number of open flows is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A backend server with its agent.
#[derive(Debug)]
pub struct Target {
    /// The backend server.
    pub backend: Backend,
    /// Its number among the processes.
    pub number: usize,
    /// Index of the service in the deployment.
    pub service: usize,
    /// Index of the failure domain in the deployment.
    pub domain: usize,
    /// The agent, while it runs.
    agent: Mutex<Option<Agent<Link, Link>>>,
    /// How the target stopped, if it has.
    exit: Mutex<Option<Exit>>,
}

/// How a target stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// After a drain.
    Drained,
    /// Abruptly.
    Crashed,
}

impl Target {
    /// Creates a target from a backend server and its agent.
    pub fn new(
        backend: Backend,
        number: usize,
        service: usize,
        domain: usize,
        agent: Agent<Link, Link>,
    ) -> Self {
        let (agent, exit) = (Mutex::new(Some(agent)), Mutex::new(None));
        Self { backend, number, service, domain, agent, exit }
    }

    /// Whether the target may receive new flows: it is running, warm and not leaving.
    pub fn is_eligible(&self) -> bool {
        self.exit().is_none() && !self.backend.is_leaving() && !self.backend.is_cold()
    }

    /// Whether the agent is ready.
    pub fn is_ready(&self) -> bool {
        self.with_agent(|agent| agent.status_source().ready().is_ok()).unwrap_or(false)
    }

    /// The configuration revision in force at the agent; 0 if there is none yet.
    pub fn revision(&self) -> u64 {
        self.with_agent(|agent| agent.status_source().status().revision)
            .flatten()
            .unwrap_or(0)
    }

    /// How the target stopped, if it has.
    pub fn exit(&self) -> Option<Exit> {
        *self.exit.lock()
    }

    /// Begins the drain.
    pub fn begin_drain(&self) {
        self.backend.leave();
        self.with_agent(|agent| agent.leave(Drain::Signal));
    }

    /// Waits until the drain is complete, then stops the agent and the backend server.
    pub async fn finish_drain(&self) {
        let start = Instant::now();
        let limit = MAX_DRAIN + Duration::from_millis(500);
        while start.elapsed() < MIN_DRAIN
            || self.open_flows() > 0 && start.elapsed() < limit
        {
            Timer::after(POLL_INTERVAL).await;
        }
        self.stop(Exit::Drained);
    }

    /// Stops the agent and the backend server immediately.
    pub fn stop(&self, exit: Exit) {
        *self.exit.lock() = Some(exit);
        drop(self.agent.lock().take());
        self.backend.stop();
    }

    /// Number of open flows at the agent.
    fn open_flows(&self) -> u32 {
        self.with_agent(|agent| agent.data_plane().shared().flows.read().open())
            .unwrap_or(0)
    }

    /// Calls a function with the agent, if it is running.
    fn with_agent<T>(&self, read: impl FnOnce(&Agent<Link, Link>) -> T) -> Option<T> {
        self.agent.lock().as_ref().map(read)
    }
}
