//! The command line: global options and subcommands.

use std::net::SocketAddr;

use clap::{Arg, ArgAction, Command, crate_version, value_parser};
use lentilreach_cli::{status, timeline};

use crate::{check, completions, demo, domain, explain, measure, show, soak, submit};

/// Name of the binary.
pub const BINARY_NAME: &str = "lentilreach";

/// Help text after the options, with the exit statuses.
const AFTER_HELP: &str = "\
Exit statuses:
  0  done
  1  failed; nothing was changed
  2  bad input: wrong usage or a mistake in a file
  3  outcome unknown; run the same command again

Example:
  lentilreach check examples/weilheim.jsonc";

/// Builds the command line.
pub fn build() -> Command {
    Command::new(BINARY_NAME)
        .about("Submits configuration to lentilreach and shows what is in force")
        .version(crate_version!())
        .after_help(AFTER_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(store_arg())
        .arg(report_arg())
        .subcommands(subcommands())
}

/// Builds the subcommands, in the order in which the help lists them.
fn subcommands() -> Vec<Command> {
    vec![
        check::command(),
        submit::command(),
        show::command(),
        domain::command(),
        completions::command(),
        demo::command(),
        measure::command(),
        soak::command(),
        status::command(),
        timeline::command(),
        explain::command(),
    ]
}

/// Builds the global option `--store`.
fn store_arg() -> Arg {
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

/// Builds the global option `--report`.
fn report_arg() -> Arg {
    Arg::new("report")
        .long("report")
        .value_name("FORM")
        .help("Format of the output")
        .value_parser(["text", "json"])
        .default_value("text")
        .global(true)
}
