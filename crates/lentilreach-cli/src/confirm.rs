//! Asks the operator before a change is written.

use std::io::{self, BufRead, IsTerminal, Write};

use clap::{Arg, ArgAction, ArgMatches};
use lentilreach::process::submit::Plan;

/// The option that answers in advance.
pub fn yes() -> Arg {
    Arg::new("yes")
        .long("yes")
        .short('y')
        .help("Write the change without asking")
        .action(ArgAction::SetTrue)
}

/// Shows a plan and asks whether to write it.
///
/// The question goes to standard error, so that standard output holds the reply alone.
pub fn ask(matches: &ArgMatches, plan: &Plan) -> bool {
    let mut err = io::stderr().lock();
    let _ = writeln!(err, "{}", plan.diff);
    for risk in plan.risks() {
        let _ = writeln!(err, "warning: {risk}");
    }
    if matches.get_flag("yes") {
        return true;
    }
    if !io::stdin().is_terminal() {
        let _ = writeln!(err, "hint: without a terminal, add --yes to write the change");
        return false;
    }
    let _ = write!(err, "Write this change? [y/N] ");
    let _ = err.flush();
    let mut answer = String::new();
    let read = io::stdin().lock().read_line(&mut answer);
    read.is_ok() && matches!(answer.trim(), "y" | "Y" | "yes")
}
