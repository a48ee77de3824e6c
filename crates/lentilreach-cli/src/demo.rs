//! `lentilreach demo`: a whole deployment in one process.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use lentilreach_standin::demo::{self, Report, Settings};
use lentilreach_standin::deployment::Deployment;
use lentilreach_standin::plan::Plan;
use lentilreach_standin::report::html;

use crate::reply::{Reply, Status};

/// The name of the subcommand.
pub const NAME: &str = "demo";

/// Connections of the brief times this are opened unless `--scale` says otherwise.
const SCALE: &str = "0.02";

/// The subcommand.
pub fn command() -> Command {
    Command::new(NAME)
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
            Arg::new("html")
                .long("html")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Write a page with plots of the run"),
        )
}

/// Runs the demo. Fails if a promise was broken or the run could not be set up.
pub fn run(matches: &ArgMatches) -> Reply {
    let settings = settings(matches);
    // Standard output is for the report alone.
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

/// The report as a reply.
fn reply(report: &Report) -> Reply {
    let fields = serde_json::to_value(report).expect("a report is plain data");
    let lines = fields.as_object().into_iter().flatten();
    let lines: Vec<_> = lines.map(|(name, value)| format!("{name:26} {value}")).collect();
    let status = if report.is_kept() { Status::Done } else { Status::Failed };
    Reply::new(status, lines.join("\n"), fields)
}
