//! Daemon of the lentilreach agent.
//!
//! Exit statuses: 0 stopped by a signal, 1 failed, 2 wrong usage or settings.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};
use env_logger::Env;
use lentilreach::process::control::Builder;
use lentilreach::process::daemon::{self, Daemon, Error};
use lentilreach::process::event::Drain;
use lentilreach::process::input;
use lentilreach::process::settings::Agent;
use lentilreach::process::signal::Stop;
use lentilreach_steer::process::settings;

mod segments;

fn main() -> ExitCode {
    // clap itself ends the process with status 2 on wrong usage.
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

/// The command line.
fn command() -> Command {
    Command::new("lentilreach-agent")
        .about("Ends callers' QUIC connections beside a backend server")
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

/// Runs until a signal, then drains.
async fn run(settings: &Agent) -> Result<(), Error> {
    let signal = |error| Error::new("signal", "system", error);
    let mut stop = Stop::new().map_err(signal)?;
    let node = &settings.node;
    let daemon = Daemon::new(node)?;
    let identity = daemon::identity(settings)?;
    let (secret, recorder) = (daemon.secret.clone(), daemon.recorder.clone());
    let (envelopes, messages) =
        (daemon::link(node.envelope)?, daemon::link(node.exchange)?);
    let agent = Builder::new(&daemon.pool, node, secret, recorder)
        .agent(settings, identity, envelopes, messages)
        .map_err(|error| Error::new("start", node.envelope, error))?;
    let (running, stopped) = smol::channel::bounded::<()>(1);
    let admin = daemon.admin(node.admin, agent.board().clone(), async move {
        // An error means that the channel is closed, which is the signal to stop.
        let _ = stopped.recv().await;
    });
    let admin = admin.await?;
    stop.wait().await.map_err(signal)?;
    daemon.stopping();
    agent.leave(Drain::Signal);
    agent.drained().await;
    daemon.stopped();
    drop(running);
    admin.await;
    Ok(())
}
