//! What both daemons have in common apart from their main task: settings, logging,
//! metrics, signals and HTTP endpoints.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use async_channel::Sender;
use lentilreach::process::admin::{Handler, Server};
use lentilreach::process::daemon::Error;
use lentilreach::process::input::Errors;
use lentilreach::process::link::Udp;
use lentilreach::process::metric::describe_metrics;
use lentilreach::process::pool::Pool;
use lentilreach::process::signal::{Listener, Signal};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use smol::Task;

use crate::process::{logging, metric, settings};

/// Upper bounds of the histogram buckets. In seconds, they cover the range from the
/// answer of a local backend server to the longest timeout of a caller. The upper
/// ones also suit hop counts, which are small numbers.
const HISTOGRAM_BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0];

/// Interval at which the samples of histograms are merged. At 10,000 samples a second they
/// take less than 1 MB meanwhile.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// The settings of a daemon.
pub trait Settings: Sized + PartialEq {
    /// Reads a settings file.
    ///
    /// # Errors
    /// All mistakes in the file.
    fn load(path: &Path) -> Result<Self, Errors>;

    /// The settings that both daemons have.
    fn node(&self) -> &settings::Node;
}

/// A daemon whose settings have been loaded.
#[derive(Debug)]
pub struct Process<T> {
    /// Its settings.
    pub settings: T,
    /// Executor of the tasks.
    pub pool: Pool,
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
    /// Path of the settings file, for reloading.
    path: PathBuf,
    /// Receives signals to stop or to reload the settings.
    signals: Listener,
}

/// Runs a daemon, or only checks its settings if `is_check` is set. Returns the exit
/// status.
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
    // The pool's workers drive the reactor, so that a datagram wakes up only one thread.
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
    /// Sets up signals, metrics and the thread pool.
    fn new(settings: T, path: &Path) -> Result<Self, Error> {
        let signals = Listener::with_reload();
        let signals = signals.map_err(|error| Error::new("signal", "system", error))?;
        let metrics = PrometheusBuilder::new()
            .set_buckets(&HISTOGRAM_BUCKETS)
            .and_then(PrometheusBuilder::install_recorder)
            .map_err(|error| Error::new("metrics", "process", error))?;
        describe_metrics(metric::ALL);
        let pool = Pool::new(settings.node().threads);
        let pool = pool.map_err(|error| Error::new("threads", "system", error))?;
        pool.spawn(metric::keep_up(metrics.clone(), UPKEEP_INTERVAL)).detach();
        Ok(Self { settings, pool, metrics, path: path.to_owned(), signals })
    }

    /// Binds a UDP socket to `address`, and another one for messages of other nodes.
    ///
    /// # Errors
    /// If an address cannot be bound.
    pub fn bind_sockets(&self, address: SocketAddr) -> Result<(Udp, Udp), Error> {
        Ok((bind(address)?, bind(SocketAddrV4::into(self.settings.node().nodes))?))
    }

    /// Starts an HTTP server that runs until the returned endpoint is dropped.
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
            // An error means that the channel was closed, which is the signal to stop.
            let _ = stopped.recv().await;
        }));
        Ok(Endpoint { _running: running, _task: task })
    }

    /// Waits for a signal to stop. Checks the settings file on each signal to reload it.
    ///
    /// A running process never changes its addresses and names: new settings take effect
    /// at its next start, and invalid ones are reported.
    ///
    /// # Errors
    /// If signals cannot be received.
    pub async fn wait_for_stop(&mut self) -> Result<(), Error> {
        loop {
            let signal = self.signals.wait().await;
            match signal.map_err(|error| Error::new("signal", "system", error))? {
                Signal::Reload => reload(&self.settings, T::load(&self.path)),
                Signal::Terminate | Signal::Interrupt => {
                    log::info!(target: "stop", cause = "signal"; "process is stopping");
                    return Ok(());
                }
            }
        }
    }
}

/// An HTTP endpoint that serves requests until it is dropped.
#[derive(Debug)]
pub struct Endpoint {
    /// Closing the channel stops the server.
    _running: Sender<()>,
    /// The task of the server.
    _task: Task<usize>,
}

/// Binds a UDP socket.
fn bind(address: SocketAddr) -> Result<Udp, Error> {
    Udp::bind(address).map_err(|error| Error::new("listen", address, error))
}

/// Logs whether the settings in the file have changed.
fn reload<T: PartialEq>(own: &T, loaded: Result<T, Errors>) {
    match loaded {
        Ok(loaded) if loaded == *own => {
            log::info!(target: "reload", outcome = "unchanged"; "settings file read; nothing has changed");
        }
        Ok(_) => {
            log::warn!(
                target: "reload", outcome = "deferred";
                "settings file has changed; a restart is needed for the changes to take effect"
            );
        }
        Err(errors) => {
            log::error!(
                target: "reload", outcome = "rejected", cause:% = errors;
                "settings file is invalid; keeping the current settings"
            );
        }
    }
}
