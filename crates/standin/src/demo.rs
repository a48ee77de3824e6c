//! Runs a demo: a deployment, callers, a plan of changes and a report.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use lentilreach::process::drain::Drain;
use lentilreach::process::pool::Pool;
use parking_lot::Mutex;
use serde::Serialize;
use smol::Task;

use crate::caller::{Group, Profile};
use crate::cluster::Cluster;
use crate::deployment::Deployment;
use crate::history::History;
use crate::plan::Plan;
use crate::record::{Count, Record};
use crate::report::Series;
use crate::tls;

/// Number of worker threads.
const THREADS: usize = 8;

/// Number of QUIC endpoints shared by the callers.
const ENDPOINTS: usize = 8;

/// Period over which the first flows of callers are spread.
const RAMP_UP: Duration = Duration::from_millis(2_500);

/// Time before measurements start.
const WARM_UP: Duration = Duration::from_secs(4);

/// Interval at which open flows are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Mean think time between two requests on a flow.
const MEAN_THINK_TIME: Duration = Duration::from_millis(1_200);

/// Lifetime of short flows.
const SHORT_FLOW_LIFETIME: Duration = Duration::from_secs(5);

/// One in this many callers uses short flows.
const SHORT_FLOW_PERIOD: u32 = 5;

/// Settings of a run.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The deployment.
    pub deployment: Deployment,
    /// The plan of changes.
    pub plan: Plan,
    /// Seed for packet loss and the fabric's choice of balancers.
    pub seed: u64,
    /// Duration of the run after the warm-up, in seconds.
    pub seconds: u64,
    /// Fraction of the deployment's connections.
    pub scale: f64,
    /// Percentage of datagrams lost between failure domains and to or from callers.
    pub loss: f64,
}

/// Result of a run.
#[derive(Debug, Clone)]
pub struct Run {
    /// Totals of the run.
    pub report: Report,
    /// Time series of the run after the warm-up.
    pub series: Series,
}

/// What callers and backend servers observed. Values that were not measured are absent.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The deployment's organisation.
    pub organisation: &'static str,
    /// The plan.
    pub plan: &'static str,
    /// The seed.
    pub seed: u64,
    /// Fraction of the deployment's connections.
    pub scale: f64,
    /// Flows opened.
    pub flows_opened: u64,
    /// Flows cut although no injected failure explains it.
    pub flows_broken: u64,
    /// Flows cut because their process crashed or their failure domain was taken out.
    pub flows_lost_to_failure: u64,
    /// Failed attempts to open a flow.
    pub flows_not_opened: u64,
    /// Requests sent, not counting retries.
    pub requests_sent: u64,
    /// Requests that received a complete response.
    pub requests_answered: u64,
    /// Attempts refused as not run.
    pub requests_refused_not_run: u64,
    /// Requests whose outcome is unknown to the caller.
    pub requests_unknown: u64,
    /// Non-idempotent requests that ran more than once.
    pub requests_run_twice: u64,
    /// Attempts that were refused as not run although they had run.
    pub not_run_but_run: u64,
    /// Requests that reached a backend server of another service.
    pub wrong_service: u64,
    /// Responses that were incomplete or belonged to another request.
    pub answers_mismatched: u64,
    /// Requests that exceeded the cold slots of a backend server.
    pub cold_overruns: u64,
    /// New requests that reached a backend server 3 s or more after it announced leaving.
    pub leaving_new_work: u64,
    /// Datagrams that reached a failure domain 3 s or more after it was taken out.
    pub out_domain_packets: u64,
    /// For each service, the maximum divided by the mean of open flows per eligible backend
    /// server.
    pub imbalance: Vec<Imbalance>,
    /// Longest time from the acceptance of a configuration until all processes applied it, in
    /// milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub config_in_force_ms: Option<u64>,
    /// Times that a process reverted to an earlier configuration.
    pub config_reverts: u64,
    /// Calls to the store per second. Each open watch counts as one call.
    pub store_calls_per_s: f64,
    /// The highest rate at which a process sent gossip traffic, in bytes per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub control_bytes_per_s_per_node: Option<f64>,
    /// Smallest fraction of requests answered in any second. Only in the domain plan.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service_share: Option<f64>,
}

/// Imbalance of a service.
#[derive(Debug, Clone, Serialize)]
pub struct Imbalance {
    /// The service.
    pub service: &'static str,
    /// Maximum divided by mean, averaged over the run.
    pub value: f64,
}

impl Report {
    /// Whether the run has no violations of lentilreach's guarantees.
    pub fn has_no_violations(&self) -> bool {
        let violations = [
            self.flows_broken,
            self.requests_run_twice,
            self.not_run_but_run,
            self.wrong_service,
            self.answers_mismatched,
            self.cold_overruns,
            self.leaving_new_work,
            self.out_domain_packets,
            self.config_reverts,
        ];
        violations.iter().all(|count| *count == 0)
    }
}

/// Runs a demo. Calls `progress` with a message for each change, and every second with the
/// current totals.
///
/// # Errors
/// Returns an error if sockets, threads or certificates cannot be created.
pub fn run(settings: &Settings, progress: impl Fn(&str)) -> io::Result<Run> {
    let history = History::new();
    let pool = Pool::new(THREADS)?;
    let record = Record::new(0);
    let cluster = Cluster::start(
        &pool,
        settings.deployment.clone(),
        record.clone(),
        settings.scale,
        settings.loss / 100.0,
        settings.seed,
    )?;
    let stop = Drain::default();
    let callers = start_callers(&pool, &cluster, &record, &stop)?;
    let readiness = pool.spawn(cluster.clone().track_readiness());
    smol::block_on(Timer::after(WARM_UP));
    progress("warm-up complete");
    let sampler = Arc::new(Mutex::new(Sampler::new(settings.deployment.services.len())));
    let sample = pool.spawn(sample(cluster.clone(), record.clone(), sampler.clone()));
    let on_change = |text: &str| {
        history.add_change(text);
        progress(text);
    };
    let start = Instant::now();
    let time = Duration::from_secs(settings.seconds);
    smol::block_on(async {
        let plan = settings.plan.run(&cluster, time.mul_f64(0.8), on_change);
        futures_lite::future::zip(
            plan,
            report_progress(&record, &history, start + time, &progress),
        )
        .await;
    });
    drop(sample);
    stop.begin();
    // Lets callers finish their current requests.
    smol::block_on(Timer::after(Duration::from_millis(500)));
    drop(callers);
    drop(readiness);
    let imbalance = sampler.lock().imbalance(&settings.deployment);
    let report = report(settings, &cluster, &record, imbalance);
    Ok(Run { report, series: history.series(&cluster) })
}

/// Starts the callers of all services.
fn start_callers(
    pool: &Pool,
    cluster: &Cluster,
    record: &Record,
    stop: &Drain,
) -> io::Result<Vec<Task<()>>> {
    let config = tls::client(cluster.identity())?;
    let endpoints = (0..ENDPOINTS)
        .map(|_| {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let mut endpoint = quinn::Endpoint::client(any)?;
            endpoint.set_default_client_config(config.clone());
            Ok(endpoint)
        })
        .collect::<io::Result<Vec<_>>>()?;
    let group = Group {
        pool: pool.clone(),
        record: record.clone(),
        endpoints: endpoints.into(),
        failures: cluster.clone(),
        stop: stop.clone(),
    };
    let mut callers = Vec::new();
    for service in &cluster.deployment().services {
        let count = cluster.flows_per_target() * service.targets as u32;
        for index in 0..count {
            let number = callers.len() as u32 + 1;
            let profile = Profile {
                service: service.name,
                address: service.address,
                delay: RAMP_UP * index / count,
                think_time: MEAN_THINK_TIME,
                lifetime: number
                    .is_multiple_of(SHORT_FLOW_PERIOD)
                    .then_some(SHORT_FLOW_LIFETIME),
            };
            callers.push(group.start(number, profile));
        }
    }
    Ok(callers)
}

/// Samples open flows and revisions periodically.
async fn sample(cluster: Cluster, record: Record, sampler: Arc<Mutex<Sampler>>) {
    loop {
        Timer::after(SAMPLE_INTERVAL).await;
        for (process, revision) in cluster.revisions() {
            record.set_revision(process, revision);
        }
        let flows = record.flows();
        let targets = cluster.targets();
        let mut sampler = sampler.lock();
        for service in 0..sampler.services.len() {
            let eligible = targets.iter().filter(|target| {
                let out = cluster.network().is_out(target.domain);
                target.service == service && target.is_eligible() && !out
            });
            let open: Vec<_> =
                eligible.map(|target| flows[target.backend.number()]).collect();
            sampler.add(service, &open);
        }
    }
}

/// Records a sample and reports the totals every second until `end`.
async fn report_progress(
    record: &Record,
    history: &History,
    end: Instant,
    progress: &impl Fn(&str),
) {
    while Instant::now() < end {
        Timer::after(Duration::from_secs(1)).await;
        history.sample(record);
        progress(&format!(
            "open {}, answered {} of {}, refused {}, broken {}",
            record.flows().iter().sum::<i64>(),
            record.get(Count::Answered),
            record.get(Count::Sent),
            record.get(Count::Refused),
            record.get(Count::Broken),
        ));
    }
}

/// Averages imbalance over a run.
struct Sampler {
    /// By service: sum and number of samples.
    services: Vec<(f64, u32)>,
}

impl Sampler {
    /// Creates a sampler for a number of services.
    fn new(services: usize) -> Self {
        Self { services: vec![(0.0, 0); services] }
    }

    /// Adds a sample of open flows per eligible backend server.
    fn add(&mut self, service: usize, open: &[i64]) {
        let sum: i64 = open.iter().sum();
        let Some(max) = open.iter().max().filter(|_| sum > 0) else { return };
        let mean = sum as f64 / open.len() as f64;
        self.services[service].0 += *max as f64 / mean;
        self.services[service].1 += 1;
    }

    /// The average imbalance of each service.
    fn imbalance(&self, deployment: &Deployment) -> Vec<Imbalance> {
        let services = deployment.services.iter().zip(&self.services);
        let measured = services.filter(|(_, (_, count))| *count > 0);
        measured
            .map(|(service, (sum, count))| Imbalance {
                service: service.name,
                value: round(sum / f64::from(*count)),
            })
            .collect()
    }
}

/// Creates the report.
fn report(
    settings: &Settings,
    cluster: &Cluster,
    record: &Record,
    imbalance: Vec<Imbalance>,
) -> Report {
    let seconds = record.elapsed().as_secs_f64();
    let service_share =
        (settings.plan == Plan::Domain).then(|| min_answered_share(record));
    Report {
        organisation: settings.deployment.organisation,
        plan: settings.plan.as_str(),
        seed: settings.seed,
        scale: settings.scale,
        flows_opened: record.get(Count::Opened),
        flows_broken: record.get(Count::Broken),
        flows_lost_to_failure: record.get(Count::LostToFailure),
        flows_not_opened: record.get(Count::OpenFailed),
        requests_sent: record.get(Count::Sent),
        requests_answered: record.get(Count::Answered),
        requests_refused_not_run: record.get(Count::Refused),
        requests_unknown: record.get(Count::Unknown),
        requests_run_twice: record.ran_twice(),
        not_run_but_run: record.refused_but_ran(),
        wrong_service: record.get(Count::WrongService),
        answers_mismatched: record.get(Count::Mismatched),
        cold_overruns: record.get(Count::ColdOverrun),
        leaving_new_work: record.get(Count::RequestWhileLeaving),
        out_domain_packets: cluster.network().packets_while_out(),
        config_in_force_ms: record
            .max_in_force_time()
            .map(|time| time.as_millis() as u64),
        config_reverts: record.get(Count::Reverted),
        store_calls_per_s: round(cluster.store().counts().load() as f64 / seconds),
        control_bytes_per_s_per_node: cluster
            .network()
            .max_gossip_bytes_per_s()
            .map(round),
        imbalance,
        service_share,
    }
}

/// Smallest fraction of requests answered in any full second after the warm-up.
fn min_answered_share(record: &Record) -> f64 {
    let seconds = record.seconds();
    // Requests of the last two seconds may not be completed yet.
    let whole = seconds.len().saturating_sub(2);
    let seconds = seconds.iter().take(whole).skip(WARM_UP.as_secs() as usize);
    let shares = seconds
        .filter(|(sent, _)| *sent > 0)
        .map(|(sent, answered)| *answered as f64 / *sent as f64);
    round(shares.fold(1.0, f64::min))
}

/// Rounds to three decimal places.
fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
