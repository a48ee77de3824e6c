//! `lentilreach completions`: prints a completion script for a shell.

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use serde_json::json;

use crate::command;
use crate::reply::{Reply, Status};

/// Name of the subcommand.
pub const NAME: &str = "completions";

/// Help text after the options.
const AFTER_HELP: &str = "\
Example:
  lentilreach completions bash > ~/.local/share/bash-completion/completions/lentilreach";

/// Builds the subcommand.
pub fn command() -> Command {
    let shell = Arg::new("shell")
        .value_name("SHELL")
        .help("Shell that the script is for")
        .required(true)
        .value_parser(value_parser!(Shell));
    Command::new(NAME)
        .about("Print a completion script for a shell")
        .arg(shell)
        .after_help(AFTER_HELP)
}

/// Generates the script.
pub fn run(matches: &ArgMatches) -> Reply {
    let Some(shell) = matches.get_one::<Shell>("shell").copied() else {
        return Reply::bad_input("no shell given");
    };
    let mut script = Vec::new();
    clap_complete::generate(
        shell,
        &mut command::build(),
        command::BINARY_NAME,
        &mut script,
    );
    let script = String::from_utf8_lossy(&script).trim_end().to_owned();
    let fields = json!({ "shell": shell.to_string(), "script": script });
    Reply::new(Status::Done, script, fields)
}
