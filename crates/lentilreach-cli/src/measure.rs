//! `lentilreach measure`: measures parts of the load balancer at a given scale.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use lentilreach_standin::measure::{self, Plan, Settings};
use lentilreach_standin::plot;
use lentilreach_standin::rush::{self, Load, Policy};
use serde::Serialize;

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
        .arg(report_arg());
    Command::new("measure")
        .about("Measure parts of the load balancer at a given scale")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(control)
        .subcommand(rush_command())
}

/// Runs the subcommand and prints its report.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let outcome = match matches.subcommand() {
        Some(("control", matches)) => {
            format_report(&measure::run(&settings(matches)), matches)
                .map_err(|error| format!("the report cannot be printed: {error}"))
        }
        Some(("rush", matches)) => run_rush(matches),
        _ => return ExitCode::from(2),
    };
    match outcome {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("lentilreach measure: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Builds the subcommand `rush`.
fn rush_command() -> Command {
    let policies = Policy::ALL.map(Policy::as_str);
    Command::new("rush")
        .about("Play the openings after an outage, in virtual time without a network")
        .arg(positive_arg("servers", "N", "10", "Backend servers, each with an agent"))
        .arg(positive_arg("slots", "N", "7", "Requests that each of them runs at once"))
        .arg(positive_arg("work-ms", "MS", "43", "Mean duration of a request"))
        .arg(positive_arg("per-s", "N", "400", "Requests a second"))
        .arg(positive_arg("crowd", "N", "1", "Factor of requests after the outage"))
        .arg(number_arg("outage-ms", "MS", "1400", "Duration of the outage"))
        .arg(number_arg("cold-ms", "MS", "2000", "Time that backend servers are cold"))
        .arg(number_arg("failing", "N", "0", "Backend servers that reject all requests"))
        .arg(number_arg(
            "mute",
            "N",
            "0",
            "Backend servers that answer half of all requests",
        ))
        .arg(number_arg("silent", "N", "0", "Agents that don't return"))
        .arg(number_arg("slow", "N", "0", "Backend servers that are slower than others"))
        .arg(positive_arg("slow-factor", "N", "3", "Factor by which they are slower"))
        .arg(number_arg("tail", "PERCENT", "0", "Requests that take 7 times as long"))
        .arg(number_arg(
            "open-flows",
            "N",
            "0",
            "Flows that callers of the less urgent requests keep open",
        ))
        .arg(positive_arg("balancers", "N", "4", "Balancers"))
        .arg(positive_arg("domains", "N", "3", "Failure domains"))
        .arg(positive_arg("seed", "N", "1", "Seed of all random choices"))
        .arg(
            Arg::new("policy")
                .long("policy")
                .default_value(Policy::Objective.as_str())
                .value_parser(policies)
                .help("How agents admit openings"),
        )
        .arg(
            Arg::new("svg")
                .long("svg")
                .value_name("FILE")
                .help("Write a plot of what callers get to a file"),
        )
        .arg(
            Arg::new("waits-svg")
                .long("waits-svg")
                .value_name("FILE")
                .help("Write a plot of times until an answer, by urgency, to a file"),
        )
        .arg(report_arg())
}

/// Writes a plot to the file that an option names, if it is given.
fn write_plot(
    matches: &ArgMatches,
    option: &str,
    draw: impl FnOnce() -> plot::Figure,
) -> Result<(), String> {
    let Some(path) = matches.get_one::<String>(option) else { return Ok(()) };
    std::fs::write(path, draw().svg).map_err(|error| format!("{path}: {error}"))
}

/// Plays a rush and formats its outcome.
fn run_rush(matches: &ArgMatches) -> Result<String, String> {
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let small = |name| u8::try_from(number(name)).unwrap_or(u8::MAX);
    let policy = matches.get_one::<String>("policy");
    let policy =
        Policy::ALL.into_iter().find(|p| policy.is_some_and(|name| name == p.as_str()));
    let load = Load {
        servers: small("servers"),
        slots: u32::try_from(number("slots")).unwrap_or(u32::MAX),
        work_ms: number("work-ms") as f64,
        per_s: number("per-s") as f64,
        crowd: number("crowd") as f64,
        outage_ms: number("outage-ms"),
        cold_ms: number("cold-ms"),
        failing: small("failing"),
        mute: small("mute"),
        silent: small("silent").min(small("servers")),
        slow: small("slow").min(small("servers")),
        slow_factor: number("slow-factor") as f64,
        tail_percent: u32::try_from(number("tail")).unwrap_or(100),
        open_flows: usize::try_from(number("open-flows")).unwrap_or(0),
        balancers: small("balancers"),
        domains: small("domains"),
        policy: policy.unwrap_or(Policy::Objective),
        seed: number("seed"),
        ..Load::default()
    };
    let outcome = rush::run(&load);
    write_plot(matches, "svg", || plot::rush(&outcome.seconds))?;
    write_plot(matches, "waits-svg", || plot::rush_waits(&outcome.seconds))?;
    if is_json(matches) {
        return format_report(&outcome, matches)
            .map_err(|error| format!("the report cannot be printed: {error}"));
    }
    Ok(format_rush(&outcome))
}

/// Formats the outcome of a rush as text: a line for each second, counted from the end of the
/// outage, then the totals.
fn format_rush(outcome: &rush::Outcome) -> String {
    let header = "second  in time  late  not answered  share in time".to_owned();
    let line = |second: &rush::Second| {
        let [in_time, late, failed]: [u32; 3] =
            [second.in_time, second.late, second.failed].map(|count| count.iter().sum());
        let share = second.share_in_time();
        format!(
            "{:>6}  {in_time:>7}  {late:>4}  {failed:>12}  {share:>13.3}",
            second.second
        )
    };
    let totals = format!(
        "rejected by backend servers: {}; run twice: {}; refused although run: {}\n\
         longest wait before delivery: {} ms; openings forwarded: {}\n\
         requests by backend server: {:?}",
        outcome.rejected,
        outcome.run_twice,
        outcome.refused_but_run,
        outcome.longest_wait_ms,
        outcome.forwards,
        outcome.requests,
    );
    let lines = outcome.seconds.iter().map(line);
    std::iter::once(header).chain(lines).chain([totals]).collect::<Vec<_>>().join("\n")
}

/// Whether the report is printed as JSON.
fn is_json(matches: &ArgMatches) -> bool {
    matches.get_one::<String>("report").is_some_and(|format| format == "json")
}

/// Builds the option `--report`.
fn report_arg() -> Arg {
    Arg::new("report")
        .long("report")
        .default_value("text")
        .value_parser(["text", "json"])
        .help("Format of the report")
}

/// Builds an option that takes a number, which may be zero.
fn number_arg(
    name: &'static str,
    value: &'static str,
    default: &'static str,
    help: &'static str,
) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name(value)
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
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
fn format_report(
    report: &impl Serialize,
    matches: &ArgMatches,
) -> serde_json::Result<String> {
    if is_json(matches) {
        return serde_json::to_string_pretty(report);
    }
    let value = serde_json::to_value(report)?;
    let fields = value.as_object().into_iter().flatten();
    let lines = fields.map(|(name, value)| format!("{name:30} {value}"));
    Ok(lines.collect::<Vec<_>>().join("\n"))
}
