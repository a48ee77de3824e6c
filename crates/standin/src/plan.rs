//! What changes while callers are served.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_util::future::join_all;

use crate::cluster::{COLD, Cluster};
use crate::target::Gone;

/// Time for which a stopping balancer goes on forwarding.
const GRACE: Duration = Duration::from_secs(1);

/// Time within which an accepted configuration must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(7);

/// Time between two looks at the state of processes.
const LOOK: Duration = Duration::from_millis(20);

/// A plan of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// Nothing changes.
    Steady,
    /// Balancers and backend servers are replaced in turn.
    Rolling,
    /// A failure domain is taken out and brought back.
    Domain,
    /// Operators submit changes, two racing.
    Config,
    /// Processes stop without warning and backend servers turn cold by themselves.
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

    /// Carries the plan out within `time`; `note` is told of each change.
    pub async fn run(self, cluster: &Cluster, time: Duration, note: impl Fn(&str)) {
        match self {
            Self::Steady => {}
            Self::Rolling => roll(cluster, time, note).await,
            Self::Domain => domain(cluster, time, note).await,
            Self::Config => config(cluster, time, note).await,
            Self::Crash => crash(cluster, time, note).await,
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

/// Replaces the backend servers of each service in turn, and the balancers.
async fn roll(cluster: &Cluster, time: Duration, note: impl Fn(&str)) {
    let end = Instant::now() + time;
    let services = 0..cluster.deployment().services.len();
    let services = services.map(|service| roll_service(cluster, service, end, &note));
    futures_lite::future::zip(join_all(services), roll_balancers(cluster, end, &note))
        .await;
}

/// Replaces the backend servers of one service in turn until the time is over: the next one
/// joins when the drain of the one before is done.
async fn roll_service(
    cluster: &Cluster,
    service: usize,
    end: Instant,
    note: &impl Fn(&str),
) {
    let old: Vec<_> = cluster
        .targets()
        .into_iter()
        .filter(|target| target.service == service)
        .collect();
    for target in old {
        if Instant::now() >= end {
            break;
        }
        let place = target.backend.number();
        let Ok(new) = cluster.add_target(service, target.domain) else { continue };
        note(&format!("backend server {} joins for {place}", new.backend.number()));
        while !new.is_ready() && Instant::now() < end {
            Timer::after(LOOK).await;
        }
        Timer::after(COLD).await;
        note(&format!("backend server {place} leaves"));
        target.leave();
        target.finish().await;
    }
}

/// Replaces the balancers until the time is over.
async fn roll_balancers(cluster: &Cluster, end: Instant, note: &impl Fn(&str)) {
    while Instant::now() < end {
        Timer::after(Duration::from_secs(1)).await;
        if cluster.replace_balancer(GRACE).await.is_ok() {
            note("balancer replaced");
        }
    }
}

/// Takes the first failure domain out and brings it back.
async fn domain(cluster: &Cluster, time: Duration, note: impl Fn(&str)) {
    Timer::after(time / 8).await;
    note(&told("failure domain out", cluster.set_out(0, true).await));
    Timer::after(time / 2).await;
    note(&told("failure domain back", cluster.set_out(0, false).await));
}

/// Submits changes, two of them at once each time.
async fn config(cluster: &Cluster, time: Duration, note: impl Fn(&str)) {
    let end = Instant::now() + time;
    let flows = cluster.flows_per_target();
    let mut step = 0;
    while Instant::now() < end {
        Timer::after(Duration::from_secs(1)).await;
        step += 1;
        let file = |more: u32| cluster.deployment().document(flows + step * 2 + more);
        let (first, second) = (file(0), file(1));
        let operator = cluster.operator();
        let race =
            futures_lite::future::zip(operator.submit(&first), operator.submit(&second));
        let (first, second) = race.await;
        let won = [&first, &second].into_iter().flatten().copied().collect::<Vec<_>>();
        note(&format!("{} of 2 operators submitted, revisions {won:?}", won.len()));
        for revision in won {
            match cluster.in_force(revision, IN_FORCE).await {
                Some(time) => cluster.record().set_in_force_time(time),
                None => note(&format!("revision {revision} is not in force after 7 s")),
            }
        }
    }
}

/// What became of a submit.
fn told(what: &str, result: Result<u64, String>) -> String {
    match result {
        Ok(revision) => format!("{what}, revision {revision}"),
        Err(error) => format!("{what}: {error}"),
    }
}

/// Stops a balancer and a backend server with its agent, and turns others cold.
async fn crash(cluster: &Cluster, time: Duration, note: impl Fn(&str)) {
    let step = time / 5;
    Timer::after(step).await;
    note("balancer crashes");
    cluster.crash_balancer(Duration::from_secs(1)).await;
    Timer::after(step).await;
    let targets = cluster.targets();
    note("backend server 0 and its agent crash");
    targets[0].stop(Gone::Crashed);
    Timer::after(step).await;
    note("backend server 1 restarts cold");
    targets[1].backend.restart();
    let _ = cluster.add_target(targets[0].service, targets[0].domain);
    let _ = cluster.add_balancer();
    Timer::after(step).await;
    note("backend server 2 turns cold and keeps its connections");
    targets[2].backend.turn_cold();
}
