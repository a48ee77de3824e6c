//! `lentilreach demo`: a whole deployment in one process.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use lentilreach_standin::demo::{self, Report, Settings};
use lentilreach_standin::deployment::Deployment;
use lentilreach_standin::plan::Plan;

/// Connections of the brief times this are opened unless `--scale` says otherwise.
const SCALE: &str = "0.02";

/// The subcommand.
pub fn command() -> Command {
    Command::new("demo")
        .about("Run a whole deployment on loopback and report what its ends saw")
        .after_help("Example:\n  lentilreach demo --organisation peakline --plan rolling")
        .arg(
            option("organisation", "NAME", "weilheim", "Deployment to run")
                .value_parser(["weilheim", "peakline"]),
        )
        .arg(
            option("plan", "PLAN", "steady", "What changes during the run")
                .value_parser(Plan::ALL.map(Plan::as_str)),
        )
        .arg(
            option("seed", "N", "1", "Seed of loss and spraying")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            option("seconds", "S", "12", "Length after the warm-up of 4 s")
                .value_parser(value_parser!(u64).range(1..=3_600)),
        )
        .arg(
            option("scale", "SHARE", SCALE, "Share of the deployment's connections")
                .value_parser(share),
        )
        .arg(
            option("loss", "PERCENT", "0", "Datagrams lost on long links")
                .value_parser(percent),
        )
        .arg(
            option("report", "FORM", "text", "Form of the report")
                .value_parser(["text", "json"]),
        )
}

/// Runs the demo. Exits with 0 if every promise was kept, 1 if one was broken or the run
/// failed.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let settings = settings(matches);
    let json = text(matches, "report") == "json";
    // Standard output is for the report alone.
    let report = demo::run(&settings, |line| eprintln!("{line}"));
    match report {
        Ok(report) => {
            print(&report, json);
            if report.is_kept() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("error: step=demo {error}");
            ExitCode::FAILURE
        }
    }
}

/// An option with a default.
fn option(
    name: &'static str,
    value: &'static str,
    default: &'static str,
    help: &'static str,
) -> Arg {
    Arg::new(name).long(name).value_name(value).default_value(default).help(help)
}

/// The settings of a run.
fn settings(matches: &ArgMatches) -> Settings {
    Settings {
        deployment: Deployment::find(text(matches, "organisation"))
            .expect("clap admits known organisations only"),
        plan: text(matches, "plan").parse().expect("clap admits known plans only"),
        seed: *matches.get_one("seed").expect("has a default"),
        seconds: *matches.get_one("seconds").expect("has a default"),
        scale: *matches.get_one("scale").expect("has a default"),
        loss: *matches.get_one("loss").expect("has a default"),
    }
}

/// The text of an option with a default.
fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).expect("has a default")
}

/// Reads a share above 0 and up to 1.
fn share(text: &str) -> Result<f64, String> {
    let share: f64 = text.parse().map_err(|_| "not a number".to_string())?;
    if share > 0.0 && share <= 1.0 {
        Ok(share)
    } else {
        Err("must be above 0 and at most 1".to_string())
    }
}

/// Reads a percentage from 0 to 100.
fn percent(text: &str) -> Result<f64, String> {
    let percent: f64 = text.parse().map_err(|_| "not a number".to_string())?;
    if (0.0..=100.0).contains(&percent) {
        Ok(percent)
    } else {
        Err("must be from 0 to 100".to_string())
    }
}

/// Prints a report.
fn print(report: &Report, json: bool) {
    let value = serde_json::to_value(report).expect("a report is plain data");
    if json {
        println!("{value}");
        return;
    }
    let fields = value.as_object().into_iter().flatten();
    for (name, value) in fields {
        println!("{name:26} {value}");
    }
}
