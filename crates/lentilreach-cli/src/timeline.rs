//! `lentilreach timeline`: shows the events of many processes in causal order.

pub mod lanes;
pub mod text;

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use lentilreach::Name;
use lentilreach::process::admin::Error;
use lentilreach::process::admin::fetch::{self, Timeline};
use lentilreach::process::clock::Stamp;
use lentilreach::process::event::merge::{Merger, merge};
use lentilreach::process::event::wire::Frame;
use lentilreach::process::event::{Event, Filter, Label};
use serde::Serialize;

use crate::fleet::{self, Format, Unreachable};

/// Time between two polls with `--follow`.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new("timeline")
        .about("Show what happened in all processes, causes before effects")
        .arg(fleet::admin_arg())
        .arg(filter_arg("service", "NAME", "Only events about a service"))
        .arg(filter_arg("process", "NAME", "Only events of or about a process"))
        .arg(
            filter_arg("revision", "N", "Only events about a configuration revision")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            filter_arg("kind", "KIND", "Only events of a kind")
                .hide_possible_values(true)
                .value_parser(PossibleValuesParser::new(
                    Label::ALL.iter().map(|label| label.as_str()),
                )),
        )
        .arg(
            Arg::new("follow")
                .long("follow")
                .action(ArgAction::SetTrue)
                .help("Keep printing events as they occur; JSON is one event per line"),
        )
        .arg(
            Arg::new("svg")
                .long("svg")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .conflicts_with("follow")
                .help("Also draw one lane per process into an SVG file"),
        )
        .arg(fleet::report_arg())
}

/// Runs `lentilreach timeline`.
///
/// The exit status is 1 if no process answered or the SVG file cannot be written.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let peers = fleet::peers(matches);
    let filter = filter(matches);
    let format = fleet::report_format(matches);
    if matches.get_flag("follow") {
        return smol::block_on(follow(&peers, &filter, format));
    }
    let answers = smol::block_on(fetch(&peers, &vec![Stamp::default(); peers.len()]));
    let report = Summary::new(&peers, answers, &filter);
    match format {
        Format::Text => fleet::print(&report.text()),
        Format::Json => fleet::print_json(&report.json()),
    };
    if let Some(path) = matches.get_one::<PathBuf>("svg")
        && let Err(error) = fs::write(path, lanes::svg(&report.events))
    {
        eprintln!("lentilreach: write {}: {error}", path.display());
        return ExitCode::FAILURE;
    }
    ExitCode::from(u8::from(report.unreachable.len() == peers.len()))
}

/// The merged answers of the processes.
#[derive(Debug)]
pub struct Summary {
    /// Events that the filter selects, in causal order.
    pub events: Vec<Event>,
    /// Processes that did not answer.
    pub unreachable: Vec<Unreachable>,
    /// Notes on missing events, one sentence each.
    pub notes: Vec<String>,
}

impl Summary {
    /// Merges and filters answers, which are in the order of `peers`.
    pub fn new(
        peers: &[String],
        answers: Vec<Result<Timeline, Error>>,
        filter: &Filter,
    ) -> Self {
        let mut timelines = Vec::new();
        let mut unreachable = Vec::new();
        let mut notes = Vec::new();
        for (peer, answer) in peers.iter().zip(answers) {
            match answer {
                Ok(timeline) => {
                    notes.extend(missing_events(peer, &timeline));
                    timelines.push(timeline.events);
                }
                Err(error) => unreachable.push(Unreachable::from(&error)),
            }
        }
        let mut events = merge(timelines);
        events.retain(|event| filter.matches(event));
        Self { events, unreachable, notes }
    }

    /// Formats the report as text.
    pub fn text(&self) -> String {
        let mut out = text::lines(&self.events);
        for note in &self.notes {
            out.push_str(&format!("note: {note}\n"));
        }
        for process in &self.unreachable {
            out.push_str(&format!("unreachable: {}\n", process.reason));
        }
        out
    }

    /// Converts the report to JSON.
    pub fn json(&self) -> impl Serialize + use<> {
        /// JSON report.
        #[derive(Serialize)]
        struct Json {
            /// Events in causal order.
            events: Vec<Frame>,
            /// Processes that did not answer.
            unreachable: Vec<Unreachable>,
            /// Notes on missing events.
            notes: Vec<String>,
        }
        Json {
            events: self.events.iter().map(Frame::from).collect(),
            unreachable: self.unreachable.clone(),
            notes: self.notes.clone(),
        }
    }
}

/// Prints events as they occur, until standard output is closed.
async fn follow(peers: &[String], filter: &Filter, format: Format) -> ExitCode {
    let mut since = vec![Stamp::default(); peers.len()];
    let mut is_unreachable = vec![false; peers.len()];
    let mut merger = Merger::default();
    loop {
        let mut timelines = Vec::new();
        for (index, answer) in fetch(peers, &since).await.into_iter().enumerate() {
            // Reported only once until the process answers again.
            if let Err(error) = &answer
                && !is_unreachable[index]
            {
                eprintln!("unreachable: {error}");
            }
            is_unreachable[index] = answer.is_err();
            if let Ok(timeline) = answer {
                since[index] =
                    timeline.events.last().map_or(since[index], |event| event.stamp);
                timelines.push(timeline.events);
            }
        }
        let mut events = merger.merge_round(timelines);
        events.retain(|event| filter.matches(event));
        let is_open = match format {
            Format::Text => fleet::print(&text::lines(&events)),
            Format::Json => {
                events.iter().all(|event| fleet::print_json(&Frame::from(event)))
            }
        };
        if !is_open {
            return ExitCode::SUCCESS;
        }
        smol::Timer::after(FOLLOW_INTERVAL).await;
    }
}

/// Fetches from each peer the events after the peer's stamp in `since`.
async fn fetch(peers: &[String], since: &[Stamp]) -> Vec<Result<Timeline, Error>> {
    let inputs = peers.iter().cloned().zip(since.iter().copied());
    let request =
        |(peer, since): (String, Stamp)| async move { fetch::events(&peer, since).await };
    fleet::request_all(inputs, request).await
}

/// Returns notes on events that a process has overwritten or that are of an unknown kind.
fn missing_events(peer: &str, timeline: &Timeline) -> Vec<String> {
    let Timeline { overwritten, unknown_kinds, .. } = timeline;
    let mut notes = Vec::new();
    if *overwritten > 0 {
        notes.push(format!("{peer} has overwritten older events: {overwritten}"));
    }
    if *unknown_kinds > 0 {
        notes.push(format!(
            "{peer} sent events of kinds that this version does not know: {unknown_kinds}"
        ));
    }
    notes
}

/// Builds an option that selects events.
fn filter_arg(id: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .long(id)
        .value_name(value)
        .action(ArgAction::Append)
        .value_delimiter(',')
        .help(help)
}

/// Returns the filter given by the options.
fn filter(matches: &ArgMatches) -> Filter {
    let names = |id| -> Vec<Name> {
        let values = matches.get_many::<String>(id).unwrap_or_default();
        values.map(|value| Name::from(value.as_str())).collect()
    };
    let kinds = matches.get_many::<String>("kind").unwrap_or_default();
    Filter {
        services: names("service"),
        processes: names("process"),
        revisions: matches.get_many("revision").unwrap_or_default().copied().collect(),
        kinds: kinds.filter_map(|kind| Label::find(kind)).collect(),
    }
}
