//! What both daemons do around their bodies: settings, log, metrics, signals, endpoints.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use async_channel::Sender;
use lentilreach::process::admin::{Handler, Server};
use lentilreach::process::daemon::Error;
use lentilreach::process::input::Errors;
use lentilreach::process::link::Udp;
use lentilreach::process::metric::describe_all;
use lentilreach::process::pool::Pool;
use lentilreach::process::signal::{Signal, Stop};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use smol::Task;

use crate::process::{logging, metric, settings};

/// Upper bounds of the buckets of histograms. In seconds, they span an answer of a backend
/// server beside the agent and the longest time budget of a caller; hops are small numbers.
const HISTOGRAM_BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0];

/// The settings of a daemon.
pub trait Settings: Sized + PartialEq {
    /// Reads a settings file.
    ///
    /// # Errors
    /// Every mistake in the file.
    fn load(path: &Path) -> Result<Self, Errors>;

    /// What both daemons have.
    fn node(&self) -> &settings::Node;
}

/// A daemon that has its settings.
#[derive(Debug)]
pub struct Process<T> {
    /// Its settings.
    pub settings: T,
    /// Runs tasks.
    pub pool: Pool,
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
    /// The settings file.
    path: PathBuf,
    /// Receives signals.
    signals: Stop,
}

/// Runs a daemon, or only checks its settings. Returns its exit status.
pub fn main<T: Settings>(
    program: &'static str,
    path: &Path,
    is_check: bool,
    run: impl AsyncFnOnce(Process<T>) -> Result<(), Error>,
) -> ExitCode {
    let settings = match T::load(path) {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{errors}");
            return ExitCode::from(2);
        }
    };
    if is_check {
        println!("{}: no mistakes", path.display());
        return ExitCode::SUCCESS;
    }
    let _guard = logging::install(program, &settings.node().name);
    let run = async {
        let process = Process::new(settings, path)?;
        log::info!(target: "start", domain:% = process.settings.node().domain; "process started");
        run(process).await
    };
    // Workers drive the reactor, so that a datagram wakes one thread only.
    match futures_lite::future::block_on(run) {
        Ok(()) => {
            log::info!(target: "stop", cause = "done"; "process stopped");
            ExitCode::SUCCESS
        }
        Err(error) => {
            log::error!(target: "stop", cause:% = error; "process failed");
            ExitCode::FAILURE
        }
    }
}

impl<T: Settings> Process<T> {
    /// Prepares a process.
    fn new(settings: T, path: &Path) -> Result<Self, Error> {
        let signals = Stop::with_reload();
        let signals = signals.map_err(|error| Error::new("signal", "system", error))?;
        let metrics = PrometheusBuilder::new()
            .set_buckets(&HISTOGRAM_BUCKETS)
            .and_then(PrometheusBuilder::install_recorder)
            .map_err(|error| Error::new("metrics", "process", error))?;
        describe_all(metric::ALL);
        let pool = Pool::new(settings.node().threads);
        let pool = pool.map_err(|error| Error::new("threads", "system", error))?;
        Ok(Self { settings, pool, metrics, path: path.to_owned(), signals })
    }

    /// Binds a link, and the one for other nodes.
    ///
    /// # Errors
    /// If an address cannot be bound.
    pub fn links(&self, address: SocketAddr) -> Result<(Udp, Udp), Error> {
        Ok((bind(address)?, bind(SocketAddrV4::into(self.settings.node().nodes))?))
    }

    /// Binds an endpoint and serves it.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn serve<H: Handler>(
        &self,
        address: SocketAddr,
        handler: H,
    ) -> Result<Endpoint, Error> {
        let server = Server::bind(address).await;
        let server = server.map_err(|error| Error::new("listen", address, error))?;
        let (running, stopped) = async_channel::bounded::<()>(1);
        let task = self.pool.spawn(server.serve(handler, async move {
            // An error means that the channel is closed, which is the signal to stop.
            let _ = stopped.recv().await;
        }));
        Ok(Endpoint { _running: running, _task: task })
    }

    /// Waits for a signal to stop. At each signal that the settings changed, checks them.
    ///
    /// Addresses and names of a running process do not change: new settings take effect at
    /// its next start, and invalid ones are reported.
    ///
    /// # Errors
    /// If signals cannot be received.
    pub async fn wait(&mut self) -> Result<(), Error> {
        loop {
            let signal = self.signals.wait().await;
            match signal.map_err(|error| Error::new("signal", "system", error))? {
                Signal::Reload => reload(&self.settings, T::load(&self.path)),
                Signal::Terminate | Signal::Interrupt => {
                    log::info!(target: "stop", cause = "signal"; "process stops");
                    return Ok(());
                }
            }
        }
    }
}

/// An endpoint that serves until it is dropped.
#[derive(Debug)]
pub struct Endpoint {
    /// Closed to end it.
    _running: Sender<()>,
    /// Serves.
    _task: Task<usize>,
}

/// Binds a link.
fn bind(address: SocketAddr) -> Result<Udp, Error> {
    Udp::bind(address).map_err(|error| Error::new("listen", address, error))
}

/// Records what became of changed settings.
fn reload<T: PartialEq>(own: &T, loaded: Result<T, Errors>) {
    match loaded {
        Ok(loaded) if loaded == *own => {
            log::info!(target: "reload", outcome = "unchanged"; "settings read again");
        }
        Ok(_) => {
            log::warn!(
                target: "reload", outcome = "deferred";
                "settings changed; they take effect when the process starts again"
            );
        }
        Err(errors) => {
            log::error!(
                target: "reload", outcome = "rejected", cause:% = errors;
                "settings are invalid; those in force stay"
            );
        }
    }
}
