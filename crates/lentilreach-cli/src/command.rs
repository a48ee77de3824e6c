//! The command line: global options and the list of subcommands.

use std::net::SocketAddr;

use clap::{Arg, ArgAction, Command, crate_version, value_parser};
use lentilreach_cli::{status, timeline};

use crate::{check, completions, demo, domain, explain, measure, show, submit};

/// The name of the binary.
pub const BINARY: &str = "lentilreach";

/// Exit statuses, shown below the help of the command.
const STATUSES: &str = "\
Exit statuses:
  0  done
  1  failed; nothing was changed
  2  bad input: wrong usage or a mistake in a file
  3  outcome unknown; run the same command again

Example:
  lentilreach check examples/weilheim.jsonc";

/// The whole command line.
pub fn build() -> Command {
    Command::new(BINARY)
        .about("Submits configuration to lentilreach and shows what is in force")
        .version(crate_version!())
        .after_help(STATUSES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(store())
        .arg(report())
        .subcommands(subcommands())
}

/// The subcommands in the order of the help.
fn subcommands() -> Vec<Command> {
    vec![
        check::command(),
        submit::command(),
        show::command(),
        domain::command(),
        completions::command(),
        demo::command(),
        measure::command(),
        status::command(),
        timeline::command(),
        explain::command(),
    ]
}

/// The addresses of the store.
fn store() -> Arg {
    Arg::new("store")
        .long("store")
        .value_name("ADDRESS")
        .help("Addresses and ports of the store, separated by commas")
        .env("LENTILREACH_STORE")
        .value_delimiter(',')
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr))
        .global(true)
}

/// The form of the output.
fn report() -> Arg {
    Arg::new("report")
        .long("report")
        .value_name("FORM")
        .help("Form of the output")
        .value_parser(["text", "json"])
        .default_value("text")
        .global(true)
}
