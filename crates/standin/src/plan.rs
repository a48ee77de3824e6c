//! Plans of changes to a deployment while callers are served.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_util::future::join_all;

use crate::cluster::{COLD_START, Cluster};
use crate::target::Exit;

/// Time for which a stopping balancer keeps forwarding.
const FORWARDING_GRACE: Duration = Duration::from_secs(1);

/// Maximum time until an accepted configuration is in force at all processes.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(7);

/// Interval at which the state of processes is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A plan of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// Nothing changes.
    Steady,
    /// Balancers and backend servers are replaced one by one.
    Rolling,
    /// A failure domain is taken out of service and brought back.
    Domain,
    /// Pairs of operators submit configuration changes concurrently.
    Config,
    /// Processes crash, and backend servers begin a cold start by themselves.
    Crash,
}

impl Plan {
    /// All plans.
    pub const ALL: [Self; 5] =
        [Self::Steady, Self::Rolling, Self::Domain, Self::Config, Self::Crash];

    /// The name of the plan.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Rolling => "rolling",
            Self::Domain => "domain",
            Self::Config => "config",
            Self::Crash => "crash",
        }
    }

    /// Carries out the plan within `time`. Calls `on_change` with a description of each
    /// change.
    pub async fn run(self, cluster: &Cluster, time: Duration, on_change: impl Fn(&str)) {
        match self {
            Self::Steady => {}
            Self::Rolling => roll(cluster, time, on_change).await,
            Self::Domain => domain(cluster, time, on_change).await,
            Self::Config => config(cluster, time, on_change).await,
            Self::Crash => crash(cluster, time, on_change).await,
        }
    }
}

impl Display for Plan {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Plan {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        Self::ALL.into_iter().find(|plan| plan.as_str() == text).ok_or(())
    }
}

/// Replaces the backend servers of each service one by one, and the balancers.
async fn roll(cluster: &Cluster, time: Duration, on_change: impl Fn(&str)) {
    let end = Instant::now() + time;
    let services = 0..cluster.deployment().services.len();
    let services =
        services.map(|service| roll_service(cluster, service, end, &on_change));
    futures_lite::future::zip(
        join_all(services),
        roll_balancers(cluster, end, &on_change),
    )
    .await;
}

/// Replaces the backend servers of a service one by one until `end`. A replacement starts
/// when the drain of the previous backend server is complete.
async fn roll_service(
    cluster: &Cluster,
    service: usize,
    end: Instant,
    on_change: &impl Fn(&str),
) {
    let initial: Vec<_> = cluster
        .targets()
        .into_iter()
        .filter(|target| target.service == service)
        .collect();
    for target in initial {
        if Instant::now() >= end {
            break;
        }
        let number = target.backend.number();
        let Ok(new) = cluster.add_target(service, target.domain) else { continue };
        on_change(&format!(
            "backend server {} starts as replacement for {number}",
            new.backend.number()
        ));
        while !new.is_ready() && Instant::now() < end {
            Timer::after(POLL_INTERVAL).await;
        }
        Timer::after(COLD_START).await;
        on_change(&format!("backend server {number} leaves"));
        target.begin_drain();
        target.finish_drain().await;
    }
}

/// Replaces balancers until `end`.
async fn roll_balancers(cluster: &Cluster, end: Instant, on_change: &impl Fn(&str)) {
    while Instant::now() < end {
        Timer::after(Duration::from_secs(1)).await;
        if cluster.replace_balancer(FORWARDING_GRACE).await.is_ok() {
            on_change("balancer replaced");
        }
    }
}

/// Takes the first failure domain out of service and brings it back.
async fn domain(cluster: &Cluster, time: Duration, on_change: impl Fn(&str)) {
    Timer::after(time / 8).await;
    on_change(&describe(
        "failure domain taken out of service",
        cluster.set_out(0, true).await,
    ));
    Timer::after(time / 2).await;
    on_change(&describe(
        "failure domain back in service",
        cluster.set_out(0, false).await,
    ));
}

/// Submits pairs of conflicting changes concurrently.
async fn config(cluster: &Cluster, time: Duration, on_change: impl Fn(&str)) {
    let end = Instant::now() + time;
    let flows = cluster.flows_per_target();
    let mut step = 0;
    while Instant::now() < end {
        Timer::after(Duration::from_secs(1)).await;
        step += 1;
        let document_with =
            |extra: u32| cluster.deployment().document(flows + step * 2 + extra);
        let (first, second) = (document_with(0), document_with(1));
        let operator = cluster.operator();
        let race =
            futures_lite::future::zip(operator.submit(&first), operator.submit(&second));
        let (first, second) = race.await;
        let accepted =
            [&first, &second].into_iter().flatten().copied().collect::<Vec<_>>();
        on_change(&format!(
            "{} of 2 operators succeeded, revisions {accepted:?}",
            accepted.len()
        ));
        for revision in accepted {
            match cluster.wait_until_in_force(revision, IN_FORCE_TIMEOUT).await {
                Some(time) => cluster.record().add_in_force_time(time),
                None => {
                    on_change(&format!("revision {revision} is not in force after 7 s"))
                }
            }
        }
    }
}

/// Describes the result of a change.
fn describe(what: &str, result: Result<u64, String>) -> String {
    match result {
        Ok(revision) => format!("{what}, revision {revision}"),
        Err(error) => format!("{what}: {error}"),
    }
}

/// Crashes a balancer and a target, and lets other backend servers begin a cold start.
async fn crash(cluster: &Cluster, time: Duration, on_change: impl Fn(&str)) {
    let step = time / 5;
    Timer::after(step).await;
    on_change("balancer crashes");
    cluster.crash_balancer(Duration::from_secs(1)).await;
    Timer::after(step).await;
    let targets = cluster.targets();
    on_change("backend server 0 and its agent crash");
    targets[0].stop(Exit::Crashed);
    Timer::after(step).await;
    on_change("backend server 1 restarts with a cold start");
    targets[1].backend.restart();
    let _ = cluster.add_target(targets[0].service, targets[0].domain);
    let _ = cluster.add_balancer();
    Timer::after(step).await;
    on_change("backend server 2 begins a cold start and keeps its connections");
    targets[2].backend.begin_cold_start();
}
