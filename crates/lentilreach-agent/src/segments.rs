//! The agent daemon with the front end for the platform's segments.

use std::path::Path;
use std::process::ExitCode;

use lentilreach::process::daemon::Error;
use lentilreach_platform::{config, packet, ready, report, store};
use lentilreach_steer::process::daemon::{self, Process};
use lentilreach_steer::process::driver::Agent;
use lentilreach_steer::process::settings;

/// Runs the daemon, or only checks its settings. Returns the exit status.
pub fn main(path: &Path, check_only: bool) -> ExitCode {
    daemon::main("lentilreach-agent", path, check_only, run)
}

/// Runs the agent until a signal asks it to stop.
async fn run(mut process: Process<settings::Agent>) -> Result<(), Error> {
    let settings = process.settings.clone();
    let sockets = process.bind_sockets(settings.backend)?;
    let dependencies = store::dependencies(&settings.node, &process.pool, config::Source);
    let agent =
        Agent::start(&process.pool, &settings, packet::Format, sockets, dependencies);
    let reports = report::Endpoint::new(agent.report_handler());
    let _reports = process.serve(settings.reports, reports).await?;
    let metrics = process.metrics.clone();
    let ready = ready::Endpoint::new(agent.node().clone(), move || metrics.render());
    let _ready = process.serve(settings.node.ready, ready).await?;
    process.wait_for_stop().await?;
    agent.finish().await;
    Ok(())
}
