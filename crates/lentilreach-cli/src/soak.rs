//! `lentilreach soak`: plays faults on the real daemons, as processes on loopback.

use std::io;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use lentilreach_standin::soak::schedule::Size;
use lentilreach_standin::soak::verdict::Promise;
use lentilreach_standin::soak::{self, Report, Settings};
use serde_json::Value;

use crate::reply::{Reply, Status};

/// Name of the subcommand.
pub const NAME: &str = "soak";

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new(NAME)
        .about(
            "Play a schedule of faults on the real daemons and check what callers and backend \
             servers see",
        )
        .after_help("Example:\n  lentilreach soak --seed 1 --seconds 60")
        .arg(number("seed", "N", "1", "Seed of the schedule").value_parser(value_parser!(u64)))
        .arg(
            number("seconds", "S", "60", "Length; the last 10 s are without faults")
                .value_parser(value_parser!(u64).range(10..=86_400)),
        )
        .arg(
            number("balancers", "N", "4", "Number of balancers")
                .value_parser(value_parser!(u8).range(1..=16)),
        )
        .arg(
            number("agents", "N", "8", "Number of agents, each with a backend server")
                .value_parser(value_parser!(u8).range(6..=32)),
        )
        .arg(
            Arg::new("known")
                .long("known")
                .value_name("PROMISE")
                .action(ArgAction::Append)
                .value_parser(Promise::ALL.map(Promise::as_str))
                .help("A promise that is known to be broken: reported, but no failure"),
        )
        .arg(folder("programs", "Folder of the daemons [default: that of this program]"))
        .arg(folder("logs", "Folder for logs, which are kept then"))
}

/// Runs the soak. Fails if a promise was broken or the run could not be judged.
pub fn run(matches: &ArgMatches) -> Reply {
    let settings = match settings(matches) {
        Ok(settings) => settings,
        Err(error) => return Reply::failed(format!("step=programs {error}")),
    };
    // Progress goes to standard error; standard output has only the report.
    match soak::run(&settings, |line| eprintln!("{line}")) {
        Ok(report) => reply(&report),
        Err(error) => Reply::failed(error.to_string()),
    }
}

/// Builds an option with a default.
fn number(
    name: &'static str,
    value: &'static str,
    default: &'static str,
    help: &'static str,
) -> Arg {
    Arg::new(name).long(name).value_name(value).default_value(default).help(help)
}

/// Builds an option that names a folder.
fn folder(name: &'static str, help: &'static str) -> Arg {
    let value = value_parser!(PathBuf);
    Arg::new(name).long(name).value_name("DIR").value_parser(value).help(help)
}

/// Returns the settings given by the options.
fn settings(matches: &ArgMatches) -> io::Result<Settings> {
    let size = Size {
        balancers: *matches.get_one("balancers").expect("has a default"),
        agents: *matches.get_one("agents").expect("has a default"),
    };
    let programs = match matches.get_one::<PathBuf>("programs") {
        Some(folder) => folder.clone(),
        None => std::env::current_exe()?.parent().map(PathBuf::from).unwrap_or_default(),
    };
    let names: Vec<&String> = matches.get_many("known").into_iter().flatten().collect();
    let is_known = |promise: &Promise| names.iter().any(|name| *name == promise.as_str());
    Ok(Settings {
        seed: *matches.get_one("seed").expect("has a default"),
        seconds: *matches.get_one("seconds").expect("has a default"),
        size,
        programs,
        known: Promise::ALL.into_iter().filter(is_known).collect(),
        logs: matches.get_one::<PathBuf>("logs").cloned(),
    })
}

/// Converts a report to a reply, with one field per line, and one line for each violation.
fn reply(report: &Report) -> Reply {
    let fields = serde_json::to_value(report).expect("a report is plain data");
    let lines = fields.as_object().into_iter().flatten();
    let lines = lines.filter(|(_, value)| !value.is_array());
    let mut lines: Vec<_> =
        lines.map(|(name, value)| format!("{name:20} {}", plain(value))).collect();
    lines.extend(
        report.known.iter().map(|v| format!("known     seed={} {v}", report.seed)),
    );
    let violations = report.violations.iter();
    lines.extend(violations.map(|v| format!("violation seed={} {v}", report.seed)));
    let status = if report.violations.is_empty() { Status::Done } else { Status::Failed };
    Reply::new(status, lines.join("\n"), fields)
}

/// A value without quotation marks.
fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
