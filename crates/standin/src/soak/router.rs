//! Routers: send the segments of callers to the balancers that report ready.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use lentilreach::process::pool::Pool;
use lentilreach_platform_standin::ready;
use lentilreach_steer::connection::flow;
use parking_lot::Mutex;
use smol::Task;

use super::{http, layout};

/// Interval between readiness checks of a balancer.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Number of failed checks after which a balancer gets no more segments.
const FAILED_CHECKS: u32 = 2;

/// A router. Clones share its view.
#[derive(Debug, Clone)]
pub struct Router {
    /// Balancers with the number of checks that failed in series.
    balancers: Arc<Mutex<Vec<(Ipv4Addr, u32)>>>,
}

impl Router {
    /// Starts a router; returns it with its checks, which end when they are dropped.
    pub fn start(pool: &Pool, balancers: &[Ipv4Addr]) -> (Self, Vec<Task<()>>) {
        let unready = balancers.iter().map(|ip| (*ip, FAILED_CHECKS)).collect();
        let router = Self { balancers: Arc::new(Mutex::new(unready)) };
        let checks = (0..balancers.len())
            .map(|index| pool.spawn(router.clone().check(index)))
            .collect();
        (router, checks)
    }

    /// The balancer that a segment of a flow is sent to now. It changes with the set of
    /// balancers that are ready. If none is, the segment is sent to any.
    pub fn choose(&self, flow: &flow::Key) -> SocketAddr {
        let balancers = self.balancers.lock();
        let ready: Vec<_> =
            balancers.iter().filter(|(_, failed)| *failed < FAILED_CHECKS).collect();
        let hash =
            usize::from(flow.caller.port()) * 31 + usize::from(flow.service.port());
        let (ip, _) = match ready.len() {
            0 => balancers[hash % balancers.len()],
            count => *ready[hash % count],
        };
        layout::callers(ip)
    }

    /// Number of balancers that are ready.
    pub fn ready(&self) -> usize {
        let balancers = self.balancers.lock();
        balancers.iter().filter(|(_, failed)| *failed < FAILED_CHECKS).count()
    }

    /// Checks a balancer until the task is cancelled.
    async fn check(self, index: usize) {
        let ip = self.balancers.lock()[index].0;
        loop {
            let is_ready = http::call(layout::ready(ip), "GET", ready::PATH, "")
                .await
                .unwrap_or(false);
            self.note(index, is_ready);
            Timer::after(CHECK_INTERVAL).await;
        }
    }

    /// Notes the outcome of a check.
    fn note(&self, index: usize, is_ready: bool) {
        let failed = &mut self.balancers.lock()[index].1;
        *failed = if is_ready { 0 } else { failed.saturating_add(1) };
    }
}
