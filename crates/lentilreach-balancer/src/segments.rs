//! The balancer daemon with the front end for the platform's segments.

use std::path::Path;
use std::process::ExitCode;

use lentilreach::process::daemon::Error;
use lentilreach_platform::{config, packet, ready, store};
use lentilreach_steer::process::daemon::{self, Process};
use lentilreach_steer::process::driver::Balancer;
use lentilreach_steer::process::settings;

/// Runs the daemon, or only checks its settings. Returns the exit status.
pub fn main(path: &Path, check_only: bool) -> ExitCode {
    daemon::main("lentilreach-balancer", path, check_only, run)
}

/// Runs the balancer until a signal asks it to stop.
async fn run(mut process: Process<settings::Balancer>) -> Result<(), Error> {
    let settings = process.settings.clone();
    let sockets = process.bind_sockets(settings.callers)?;
    let dependencies = store::dependencies(&settings.node, &process.pool, config::Source);
    let balancer =
        Balancer::start(&process.pool, &settings, packet::Format, sockets, dependencies);
    let metrics = process.metrics.clone();
    let ready = ready::Endpoint::new(balancer.node().clone(), move || metrics.render());
    let _ready = process.serve(settings.node.ready, ready).await?;
    process.wait_for_stop().await?;
    balancer.finish().await;
    Ok(())
}
