//! `lentilreach measure`: measures parts of the load balancer at a given scale.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use lentilreach_standin::measure::{self, Plan, Report, Settings};

/// Exit status if the report cannot be printed.
const EXIT_FAILED: u8 = 1;

/// Builds the subcommand.
pub fn command() -> Command {
    let control = Command::new("control")
        .about("Measure the exchange of state between nodes, in virtual time")
        .arg(positive_arg("nodes", "N", "610", "Balancers"))
        .arg(positive_arg("targets", "T", "4000", "Backend servers, each with an agent"))
        .arg(positive_arg("seconds", "S", "30", "Virtual time to measure"))
        .arg(positive_arg("seed", "N", "1", "Seed of all random choices"))
        .arg(
            Arg::new("loss")
                .long("loss")
                .value_name("PERCENT")
                .default_value("1")
                .value_parser(parse_percent)
                .help("Share of datagrams that are lost"),
        )
        .arg(
            Arg::new("plan")
                .long("plan")
                .default_value(Plan::Steady.as_str())
                .value_parser(Plan::ALL.map(Plan::as_str))
                .help("What happens during the measurement"),
        )
        .arg(
            Arg::new("report")
                .long("report")
                .default_value("text")
                .value_parser(["text", "json"])
                .help("Format of the report"),
        );
    Command::new("measure")
        .about("Measure parts of the load balancer at a given scale")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(control)
}

/// Runs the subcommand and prints its report.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let Some(("control", matches)) = matches.subcommand() else {
        return ExitCode::from(2);
    };
    let report = measure::run(&settings(matches));
    match format_report(&report, matches) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("lentilreach measure: the report cannot be printed: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Builds an option that takes a positive number.
fn positive_arg(
    name: &'static str,
    value: &'static str,
    default: &'static str,
    help: &'static str,
) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name(value)
        .default_value(default)
        .value_parser(value_parser!(u64).range(1..))
        .help(help)
}

/// Parses a percentage from 0 to 100.
fn parse_percent(text: &str) -> Result<f64, String> {
    let value: f64 = text.parse().map_err(|_| "not a number".to_owned())?;
    let in_range = (0.0..=100.0).contains(&value);
    in_range.then_some(value).ok_or_else(|| "not between 0 and 100".to_owned())
}

/// Returns the settings given by the options. Each option has a default.
fn settings(matches: &ArgMatches) -> Settings {
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let plan = matches.get_one::<String>("plan");
    let plan =
        Plan::ALL.into_iter().find(|p| plan.is_some_and(|name| name == p.as_str()));
    Settings {
        nodes: number("nodes") as usize,
        targets: number("targets") as usize,
        loss_percent: matches.get_one("loss").copied().unwrap_or(1.0),
        seconds: number("seconds"),
        seed: number("seed"),
        plan: plan.unwrap_or(Plan::Steady),
    }
}

/// Formats the report as given by `--report`.
fn format_report(report: &Report, matches: &ArgMatches) -> serde_json::Result<String> {
    if matches.get_one::<String>("report").is_some_and(|format| format == "json") {
        return serde_json::to_string_pretty(report);
    }
    let value = serde_json::to_value(report)?;
    let fields = value.as_object().into_iter().flatten();
    let lines = fields.map(|(name, value)| format!("{name:30} {value}"));
    Ok(lines.collect::<Vec<_>>().join("\n"))
}
