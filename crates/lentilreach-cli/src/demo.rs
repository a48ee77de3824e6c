//! `lentilreach demo`: runs a simulated deployment in one process.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use lentilreach_standin::demo::{self, Report, Settings};
use lentilreach_standin::deployment::Deployment;
use lentilreach_standin::plan::Plan;
use lentilreach_standin::report::html;

use crate::reply::{Reply, Status};

/// Name of the subcommand.
pub const NAME: &str = "demo";

/// Default of `--scale`: the share of the deployment's connections that are opened.
const DEFAULT_SCALE: &str = "0.02";

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new(NAME)
        .about(
            "Run a whole deployment on loopback and report what callers and backend servers \
             saw",
        )
        .after_help("Example:\n  lentilreach demo --organisation peakline --plan rolling")
        .arg(
            default_arg("organisation", "NAME", "weilheim", "Deployment to run")
                .value_parser(["weilheim", "peakline"]),
        )
        .arg(
            default_arg("plan", "PLAN", "steady", "What changes during the run")
                .value_parser(Plan::ALL.map(Plan::as_str)),
        )
        .arg(
            default_arg("seed", "N", "1", "Seed for loss and choice of balancers")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            default_arg("seconds", "S", "12", "Length in seconds after 4 s of warm-up")
                .value_parser(value_parser!(u64).range(1..=3_600)),
        )
        .arg(
            default_arg(
                "scale",
                "SHARE",
                DEFAULT_SCALE,
                "Share of the deployment's connections",
            )
            .value_parser(parse_share),
        )
        .arg(
            default_arg("loss", "PERCENT", "0", "Share of datagrams lost on long links")
                .value_parser(parse_percent),
        )
        .arg(
            Arg::new("html")
                .long("html")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Write a page with plots of the run"),
        )
}

/// Runs the demo. Fails if a guarantee was violated or the run could not be set up.
pub fn run(matches: &ArgMatches) -> Reply {
    let settings = settings(matches);
    // Progress goes to standard error; standard output has only the report.
    let run = match demo::run(&settings, |line| eprintln!("{line}")) {
        Ok(run) => run,
        Err(error) => return Reply::failed(format!("step=demo {error}")),
    };
    if let Some(path) = matches.get_one::<PathBuf>("html") {
        let title = format!("{}, {}", settings.deployment.organisation, settings.plan);
        if let Err(error) = std::fs::write(path, html(&title, &run.series)) {
            return Reply::failed(format!("step=write peer={} {error}", path.display()));
        }
    }
    reply(&run.report)
}

/// Builds an option with a default.
fn default_arg(
    name: &'static str,
    value: &'static str,
    default: &'static str,
    help: &'static str,
) -> Arg {
    Arg::new(name).long(name).value_name(value).default_value(default).help(help)
}

/// Returns the settings given by the options.
fn settings(matches: &ArgMatches) -> Settings {
    Settings {
        deployment: Deployment::find(value(matches, "organisation"))
            .expect("clap accepts known organisations only"),
        plan: value(matches, "plan").parse().expect("clap accepts known plans only"),
        seed: *matches.get_one("seed").expect("has a default"),
        seconds: *matches.get_one("seconds").expect("has a default"),
        scale: *matches.get_one("scale").expect("has a default"),
        loss: *matches.get_one("loss").expect("has a default"),
    }
}

/// Returns the value of an option with a default.
fn value<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).expect("has a default")
}

/// Parses a share above 0 and up to 1.
fn parse_share(text: &str) -> Result<f64, String> {
    let share: f64 = text.parse().map_err(|_| "not a number".to_string())?;
    if share > 0.0 && share <= 1.0 {
        Ok(share)
    } else {
        Err("must be above 0 and at most 1".to_string())
    }
}

/// Parses a percentage from 0 to 100.
fn parse_percent(text: &str) -> Result<f64, String> {
    let percent: f64 = text.parse().map_err(|_| "not a number".to_string())?;
    if (0.0..=100.0).contains(&percent) {
        Ok(percent)
    } else {
        Err("must be from 0 to 100".to_string())
    }
}

/// Converts a report to a reply, with one field per line.
fn reply(report: &Report) -> Reply {
    let fields = serde_json::to_value(report).expect("a report is plain data");
    let lines = fields.as_object().into_iter().flatten();
    let lines: Vec<_> = lines.map(|(name, value)| format!("{name:26} {value}")).collect();
    let status = if report.has_no_violations() { Status::Done } else { Status::Failed };
    Reply::new(status, lines.join("\n"), fields)
}
