//! The balancer with the front end for segments.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use lentilreach::process::daemon::Error;
use lentilreach::process::link::Udp;
use lentilreach::process::pool::Pool;
use lentilreach::process::signal::Stop;
use lentilreach::process::store::Settings;
use lentilreach::process::store::retry::Retry;
use lentilreach_platform::{config, packet, ready, store};
use lentilreach_steer::process::daemon::{Endpoint, wait};
use lentilreach_steer::process::driver::{Balancer, Outside};
use lentilreach_steer::process::{lines, settings};
use metrics_exporter_prometheus::PrometheusBuilder;

/// Runs the daemon, or only checks its settings.
pub fn main(path: &Path, is_check: bool) -> ExitCode {
    let settings = match settings::Balancer::load(path) {
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
    let _lines = lines::install("lentilreach-balancer", &settings.node.name);
    match smol::block_on(run(path, &settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "stop", cause:% = error; "process failed");
            ExitCode::FAILURE
        }
    }
}

/// Runs until a signal.
async fn run(path: &Path, settings: &settings::Balancer) -> Result<(), Error> {
    let signal = |error| Error::new("signal", "system", error);
    let mut signals = Stop::with_reload().map_err(signal)?;
    let node = &settings.node;
    let recorder = PrometheusBuilder::new().install_recorder();
    let metrics = recorder.map_err(|error| Error::new("metrics", "process", error))?;
    let pool = Pool::new(node.threads);
    let pool = pool.map_err(|error| Error::new("threads", "system", error))?;
    let bind = |address: SocketAddr| {
        Udp::bind(address).map_err(|error| Error::new("listen", address, error))
    };
    let links = (bind(settings.callers)?, bind(SocketAddr::V4(node.nodes))?);
    let store =
        Retry::new(store::Client::new(node.store, pool.clone()), Settings::default());
    let outside = Outside { store, source: config::Source };
    let balancer = Balancer::start(&pool, settings, packet::Format, links, outside);
    let endpoint =
        ready::Endpoint::new(balancer.node().clone(), move || metrics.render());
    let _ready = Endpoint::start(&pool, node.ready, endpoint).await?;
    log::info!(target: "start", domain:% = node.domain; "process started");
    wait(&mut signals, settings, || settings::Balancer::load(path)).await?;
    log::info!(target: "stop", cause = "signal"; "process stops");
    balancer.finish().await;
    log::info!(target: "stop", cause = "done"; "process stopped");
    Ok(())
}
