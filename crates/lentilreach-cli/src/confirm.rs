//! Asks the operator for confirmation before a change is written.

use std::io::{self, BufRead, IsTerminal, Write};

use clap::{Arg, ArgAction, ArgMatches};
use lentilreach::process::submit::Plan;

/// Builds the option `--yes`, which confirms the change in advance.
pub fn yes_arg() -> Arg {
    Arg::new("yes")
        .long("yes")
        .short('y')
        .help("Write the change without asking")
        .action(ArgAction::SetTrue)
}

/// Prints the planned change with its risks and asks for confirmation.
///
/// Everything is printed to standard error, so that standard output has only the reply.
pub fn ask(matches: &ArgMatches, plan: &Plan) -> bool {
    let mut stderr = io::stderr().lock();
    let _ = writeln!(stderr, "{}", plan.diff);
    for risk in plan.risks() {
        let _ = writeln!(stderr, "warning: {risk}");
    }
    if matches.get_flag("yes") {
        return true;
    }
    if !io::stdin().is_terminal() {
        let _ =
            writeln!(stderr, "hint: without a terminal, add --yes to write the change");
        return false;
    }
    let _ = write!(stderr, "Write this change? [y/N] ");
    let _ = stderr.flush();
    let mut answer = String::new();
    let read = io::stdin().lock().read_line(&mut answer);
    read.is_ok() && matches!(answer.trim(), "y" | "Y" | "yes")
}
