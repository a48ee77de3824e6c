//! Daemon of the lentilreach balancer.
//!
//! Exit statuses: 0 stopped by a signal, 1 failed, 2 wrong usage or settings.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, Command, value_parser};
use env_logger::Env;
use lentilreach::process::control::Builder;
use lentilreach::process::daemon::{self, Daemon, Error};
use lentilreach::process::entry::{Direct, Encapsulated, Entry};
use lentilreach::process::input;
use lentilreach::process::settings::Balancer;
use lentilreach::process::signal::Stop;
use lentilreach::process::store;
use lentilreach_steer::process::settings;

/// Time for which packets are still forwarded after the process reports that it is not
/// ready, so that the fabric can use other balancers.
const GRACE: Duration = Duration::from_secs(2);

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
    let settings = match Balancer::load(path) {
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
    match smol::block_on(start(&settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// The command line.
fn command() -> Command {
    Command::new("lentilreach-balancer")
        .about("Forwards QUIC packets to the agents beside backend servers")
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

/// Chooses the side of callers.
async fn start(settings: &Balancer) -> Result<(), Error> {
    // Files first: a mistake in them is told without a socket.
    let daemon = Daemon::new(&settings.node)?;
    let address = settings.service;
    match settings.fabric {
        Some(fabric) => {
            let entry = Encapsulated::new(daemon::link(address)?, fabric);
            run(settings, daemon, entry).await
        }
        None => {
            let entry = Direct::bind(address);
            let entry = entry.map_err(|e| Error::new("listen", address, e))?;
            run(settings, daemon, entry).await
        }
    }
}

/// Runs until a signal.
async fn run<E: Entry>(
    settings: &Balancer,
    daemon: Daemon,
    entry: E,
) -> Result<(), Error> {
    let signal = |error| Error::new("signal", "system", error);
    let mut stop = Stop::new().map_err(signal)?;
    let node = &settings.node;
    let endpoints = node.store.iter();
    let client = endpoints.fold(store::Settings::builder(), |b, e| b.endpoint(*e));
    let store = store::connect(client.build(), daemon.pool.clone());
    let store = store.map_err(|error| Error::new("connect", "store", error))?;
    let (secret, recorder) = (daemon.secret.clone(), daemon.recorder.clone());
    let (envelopes, messages) =
        (daemon::link(node.envelope)?, daemon::link(node.exchange)?);
    let balancer = Builder::new(&daemon.pool, node, secret, recorder)
        .balancer(entry, envelopes, messages, store);
    let (running, stopped) = smol::channel::bounded::<()>(1);
    let admin = daemon.admin(node.admin, balancer.board().clone(), async move {
        // An error means that the channel is closed, which is the signal to stop.
        let _ = stopped.recv().await;
    });
    let admin = admin.await?;
    stop.wait().await.map_err(signal)?;
    daemon.stopping();
    balancer.leave();
    balancer.finish(GRACE).await;
    daemon.stopped();
    drop(running);
    admin.await;
    Ok(())
}
