//! The lentilreach balancer daemon.
//!
//! Exit statuses: 0 after a stop by a signal, 1 after a failure, 2 for invalid usage or
//! settings.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, Command, value_parser};
use env_logger::Env;
use lentilreach::process::control::Builder;
use lentilreach::process::daemon::{self, Daemon, Error};
use lentilreach::process::ingress::{Direct, Encapsulated, Ingress};
use lentilreach::process::input;
use lentilreach::process::settings::Balancer;
use lentilreach::process::signal::Listener;
use lentilreach::process::store;
use lentilreach_steer::process::settings;

/// Time for which packets are still forwarded after the process stops reporting ready, so
/// that the fabric can switch to other balancers.
const FORWARD_GRACE: Duration = Duration::from_secs(2);

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
    match smol::block_on(bind_and_run(&settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Defines the command line.
fn command() -> Command {
    Command::new("lentilreach-balancer")
        .about("Forwards QUIC packets to the agents next to backend servers")
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

/// Binds the socket for callers, with or without encapsulation by the fabric, and runs
/// the balancer.
async fn bind_and_run(settings: &Balancer) -> Result<(), Error> {
    // The files are read first, so that an error in them is reported before a socket is
    // bound.
    let daemon = Daemon::new(&settings.node)?;
    let address = settings.service;
    match settings.fabric {
        Some(fabric) => {
            let ingress = Encapsulated::new(daemon::bind_udp(address)?, fabric);
            run(settings, daemon, ingress).await
        }
        None => {
            let ingress = Direct::bind(address);
            let ingress = ingress.map_err(|e| Error::new("listen", address, e))?;
            run(settings, daemon, ingress).await
        }
    }
}

/// Runs the balancer until a signal asks it to stop.
async fn run<I: Ingress>(
    settings: &Balancer,
    daemon: Daemon,
    ingress: I,
) -> Result<(), Error> {
    let signal_error = |error| Error::new("signal", "system", error);
    let mut signals = Listener::new().map_err(signal_error)?;
    let node = &settings.node;
    let endpoints = node.store.iter();
    let client = endpoints.fold(store::Settings::builder(), |b, e| b.endpoint(*e));
    let store = store::connect(client.build(), daemon.pool.clone());
    let store = store.map_err(|error| Error::new("connect", "store", error))?;
    let (secret, recorder) = (daemon.secret.clone(), daemon.recorder.clone());
    let (envelopes, messages) =
        (daemon::bind_udp(node.envelope)?, daemon::bind_udp(node.exchange)?);
    let balancer = Builder::new(&daemon.pool, node, secret, recorder)
        .balancer(ingress, envelopes, messages, store);
    let (admin_guard, admin_stop) = smol::channel::bounded::<()>(1);
    let admin =
        daemon.serve_admin(node.admin, balancer.status_source().clone(), async move {
            // Nothing is sent: an error means that the guard was dropped.
            let _ = admin_stop.recv().await;
        });
    let admin = admin.await?;
    signals.wait().await.map_err(signal_error)?;
    daemon.record_stopping();
    balancer.leave();
    balancer.finish(FORWARD_GRACE).await;
    daemon.record_stopped();
    drop(admin_guard);
    admin.await;
    Ok(())
}
