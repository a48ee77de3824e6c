//! The operators' command.

mod demo;

use std::process::ExitCode;

use clap::Command;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error"))
        .init();
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("demo", matches)) => demo::run(matches),
        _ => ExitCode::from(2),
    }
}

/// The command with its subcommands.
fn command() -> Command {
    Command::new("lentilreach")
        .about("Operate lentilreach, a layer-4 load balancer")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .subcommand(demo::command())
}
