//! A backend server of a running deployment, with its agent.

use std::time::{Duration, Instant};

use async_io::Timer;
use lentilreach::process::admin::Source as _;
use lentilreach::process::control::Agent;
use lentilreach::process::event::Drain;
use parking_lot::Mutex;

use crate::backend::Backend;
use crate::loopback::Link;

/// Longest drain. Longer than callers think, so that all of them move in time.
pub const LEAVE: Duration = Duration::from_millis(4_000);

/// Shortest drain, so that offers of balancers that have not heard of it are handed on.
const LINGER: Duration = Duration::from_secs(3);

/// Time between two looks at open flows.
const LOOK: Duration = Duration::from_millis(20);

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
    /// How it ended, if it has.
    end: Mutex<Option<Gone>>,
}

/// How a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gone {
    /// After a drain.
    Drained,
    /// Without warning.
    Crashed,
}

impl Target {
    /// A backend server and its agent.
    pub fn new(
        backend: Backend,
        number: usize,
        service: usize,
        domain: usize,
        agent: Agent<Link, Link>,
    ) -> Self {
        let (agent, end) = (Mutex::new(Some(agent)), Mutex::new(None));
        Self { backend, number, service, domain, agent, end }
    }

    /// Whether it may be given new flows: it runs, is warm and does not leave.
    pub fn is_eligible(&self) -> bool {
        self.gone().is_none() && !self.backend.is_leaving() && !self.backend.is_cold()
    }

    /// Whether the agent serves.
    pub fn is_ready(&self) -> bool {
        self.read(|agent| agent.board().ready().is_ok()).unwrap_or(false)
    }

    /// The configuration revision in force at the agent; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.read(|agent| agent.board().status().revision).flatten().unwrap_or(0)
    }

    /// How it ended, if it has.
    pub fn gone(&self) -> Option<Gone> {
        *self.end.lock()
    }

    /// Begins the drain.
    pub fn leave(&self) {
        self.backend.leave();
        self.read(|agent| agent.leave(Drain::Signal));
    }

    /// Waits until the drain is over, then stops agent and backend server.
    pub async fn finish(&self) {
        let start = Instant::now();
        let limit = LEAVE + Duration::from_millis(500);
        while start.elapsed() < LINGER || self.open() > 0 && start.elapsed() < limit {
            Timer::after(LOOK).await;
        }
        self.stop(Gone::Drained);
    }

    /// Stops agent and backend server at once.
    pub fn stop(&self, how: Gone) {
        *self.end.lock() = Some(how);
        drop(self.agent.lock().take());
        self.backend.stop();
    }

    /// Open flows at the agent.
    fn open(&self) -> u32 {
        self.read(|agent| agent.body().shared().flows.read().open()).unwrap_or(0)
    }

    /// Reads from the agent while it runs.
    fn read<T>(&self, read: impl FnOnce(&Agent<Link, Link>) -> T) -> Option<T> {
        self.agent.lock().as_ref().map(read)
    }
}
