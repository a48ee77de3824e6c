//! The lentilreach agent daemon.
//!
//! Exit statuses: 0 after a stop by a signal, 1 after a failure, 2 for invalid usage or
//! settings.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};
use env_logger::Env;
use lentilreach::process::control::Builder;
use lentilreach::process::daemon::{self, Daemon, Error};
use lentilreach::process::event::Drain;
use lentilreach::process::input;
use lentilreach::process::settings::Agent;
use lentilreach::process::signal::Listener;
use lentilreach_steer::process::settings;

mod segments;

fn main() -> ExitCode {
    // On invalid usage, clap exits with status 2.
    let matches = command().get_matches();
    if let Some(path) = matches.get_one::<PathBuf>("settings")
        && let Ok(text) = input::load(path)
        && settings::is_selected(&text)
    {
        return segments::main(path, matches.get_flag("check"));
    }
    env_logger::Builder::from_env(Env::default().default_filter_or("info")).init();
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return ExitCode::from(2);
    };
    let settings = match Agent::load(path) {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{errors}");
            return ExitCode::from(2);
        }
    };
    if matches.get_flag("check") {
        println!("{}: no mistakes", path.display());
        return ExitCode::SUCCESS;
    }
    match smol::block_on(run(&settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Defines the command line.
fn command() -> Command {
    Command::new("lentilreach-agent")
        .about("Terminates callers' QUIC connections next to a backend server")
        .version(clap::crate_version!())
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings in JSON with comments"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Checks the settings and exits"),
        )
}

/// Runs the agent until a signal asks it to stop, then drains it.
async fn run(settings: &Agent) -> Result<(), Error> {
    let signal_error = |error| Error::new("signal", "system", error);
    let mut signals = Listener::new().map_err(signal_error)?;
    let node = &settings.node;
    let daemon = Daemon::new(node)?;
    let identity = daemon::load_identity(settings)?;
    let (secret, recorder) = (daemon.secret.clone(), daemon.recorder.clone());
    let (envelopes, messages) =
        (daemon::bind_udp(node.envelope)?, daemon::bind_udp(node.exchange)?);
    let agent = Builder::new(&daemon.pool, node, secret, recorder)
        .agent(settings, identity, envelopes, messages)
        .map_err(|error| Error::new("start", node.envelope, error))?;
    let (admin_guard, admin_stop) = smol::channel::bounded::<()>(1);
    let admin =
        daemon.serve_admin(node.admin, agent.status_source().clone(), async move {
            // Nothing is sent: an error means that the guard was dropped.
            let _ = admin_stop.recv().await;
        });
    let admin = admin.await?;
    signals.wait().await.map_err(signal_error)?;
    daemon.record_stopping();
    agent.leave(Drain::Signal);
    agent.drained().await;
    daemon.record_stopped();
    drop(admin_guard);
    admin.await;
    Ok(())
}
