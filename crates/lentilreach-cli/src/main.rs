//! Command-line tool for the operators of lentilreach.
//!
//! Exit statuses: 0 done, 1 failed, 2 bad input, 3 outcome unknown.

mod check;
mod command;
mod completions;
mod confirm;
mod context;
mod demo;
mod domain;
mod explain;
mod measure;
mod reply;
mod show;
mod soak;
mod store;
mod submit;
mod wait;

use std::process::ExitCode;

use clap::ArgMatches;
use env_logger::Env;
use lentilreach_cli::{status, timeline};

use crate::context::Context;
use crate::reply::Reply;

fn main() -> ExitCode {
    env_logger::Builder::from_env(Env::default().default_filter_or("error"))
        .format_timestamp_millis()
        .init();
    // On wrong usage, clap exits with status 2.
    let matches = command::build().get_matches();
    run(&Context::from(&matches), &matches)
}

/// Runs the subcommand and prints its reply.
fn run(context: &Context, matches: &ArgMatches) -> ExitCode {
    let reply = match matches.subcommand() {
        Some(("measure", matches)) => return measure::run(matches),
        Some(("status", matches)) => return status::run(matches),
        Some(("timeline", matches)) => return timeline::run(matches),
        Some((check::NAME, matches)) => check::run(context, matches),
        Some((submit::NAME, matches)) => submit::run(context, matches),
        Some((show::NAME, matches)) => show::run(context, matches),
        Some((domain::NAME, matches)) => domain::run(context, matches),
        Some((completions::NAME, matches)) => completions::run(matches),
        Some((demo::NAME, matches)) => demo::run(matches),
        Some((soak::NAME, matches)) => soak::run(matches),
        Some((explain::NAME, matches)) => explain::run(matches),
        // clap requires one of the subcommands above.
        _ => Reply::bad_input("no subcommand"),
    };
    reply.print(context.format)
}
