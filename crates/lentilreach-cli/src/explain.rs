//! `lentilreach explain`: reconstructs from log lines what happened to a flow, and why.

use std::fs;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use lentilreach_steer::connection::flow;
use serde_json::{Map, Value, json};

use crate::reply::{Reply, Status};

/// Name of the subcommand.
pub const NAME: &str = "explain";

/// Help text after the options.
const AFTER_HELP: &str = "\
Reads the log lines of any number of processes, also if other text surrounds them.

Example:
  lentilreach explain 59f7292171117b0f balancer-1.log agent-1.log
  lentilreach explain --caller 100.64.0.7:40001 --address 198.18.0.1:443 *.log";

/// Fields that every log line has; text output omits them from the inputs of a decision.
const COMMON_FIELDS: [&str; 7] =
    ["time_ms", "node", "program", "event", "level", "message", "flow"];

/// Events that end a flow or an attempt to open one.
const END_EVENTS: [&str; 3] = ["refused", "dropped", "ended"];

/// Events after which a flow continues.
const PROGRESS_EVENTS: [&str; 3] = ["offered", "accepted", "found"];

/// Builds the subcommand.
pub fn command() -> Command {
    let flow = Arg::new("flow")
        .value_name("FLOW")
        .help("Identifier of the flow in the log lines; with --caller, the first file");
    let files = Arg::new("files")
        .value_name("FILE")
        .num_args(0..)
        .value_parser(value_parser!(PathBuf))
        .help("Files with log lines");
    let caller = Arg::new("caller")
        .long("caller")
        .value_name("ADDRESS")
        .value_parser(value_parser!(SocketAddrV4))
        .requires("address")
        .help("The caller's address and port");
    let address = Arg::new("address")
        .long("address")
        .value_name("ADDRESS")
        .value_parser(value_parser!(SocketAddrV4))
        .requires("caller")
        .help("The address and port that the caller used");
    Command::new(NAME)
        .about("Tell from log lines what happened to a flow, and why")
        .arg(flow.required(true).action(ArgAction::Set))
        .arg(files)
        .arg(caller)
        .arg(address)
        .after_help(AFTER_HELP)
}

/// Reads the files and explains the flow that the arguments select.
pub fn run(matches: &ArgMatches) -> Reply {
    let flow_or_file =
        matches.get_one::<String>("flow").map(String::as_str).unwrap_or_default();
    let files = matches.get_many::<PathBuf>("files").into_iter().flatten();
    let mut files: Vec<&Path> = files.map(PathBuf::as_path).collect();
    let addresses = (matches.get_one("caller"), matches.get_one("address"));
    let flow = match addresses {
        (Some(caller), Some(service)) => {
            files.insert(0, Path::new(flow_or_file));
            flow::Key { caller: *caller, service: *service }.to_string()
        }
        _ => flow_or_file.to_owned(),
    };
    let mut records = Vec::new();
    for file in files {
        match fs::read(file) {
            Ok(bytes) => records.extend(parse_records(&String::from_utf8_lossy(&bytes))),
            Err(error) => {
                return Reply::bad_input(format!("{}: {error}", file.display()));
            }
        }
    }
    explain(&flow, records)
}

/// Explains a flow from its log records, and reports the cause of its end if there is one.
fn explain(flow: &str, mut records: Vec<Map<String, Value>>) -> Reply {
    records.retain(|record| text_field(record, "flow") == flow);
    records.sort_by_key(|record| record.get("time_ms").and_then(Value::as_u64));
    let Some(last) = records.last() else {
        return Reply::failed(format!(
            "no line speaks of flow {flow}; it did not reach these processes, or its lines \
             were suppressed (events \"suppressed\" tell how many)"
        ));
    };
    // The last such event decides whether the flow has ended.
    let ends_or_continues = |record: &&Map<String, Value>| {
        let event = text_field(record, "event");
        END_EVENTS.contains(&event) || PROGRESS_EVENTS.contains(&event)
    };
    let end = records.iter().rev().find(ends_or_continues);
    let end = end.filter(|record| END_EVENTS.contains(&text_field(record, "event")));
    let cause = end.map_or("none", |record| text_field(record, "cause")).to_owned();
    let start_ms = records[0].get("time_ms").and_then(Value::as_u64).unwrap_or_default();
    let mut lines: Vec<_> =
        records.iter().map(|record| format_record(record, start_ms)).collect();
    lines.push(match end {
        Some(record) => {
            format!(
                "cause: {cause}, at {} ({})",
                text_field(record, "node"),
                text_field(record, "event")
            )
        }
        None => format!("no end is recorded; last seen at {}", text_field(last, "node")),
    });
    let fields = json!({ "flow": flow, "cause": cause, "records": records });
    Reply::new(Status::Done, lines.join("\n"), fields)
}

/// Parses the JSON objects in a text and skips everything between them.
fn parse_records(text: &str) -> Vec<Map<String, Value>> {
    let mut records = Vec::new();
    let mut rest = text;
    while let Some(start) = rest.find("{\"") {
        let mut values =
            serde_json::Deserializer::from_str(&rest[start..]).into_iter::<Value>();
        let next = match values.next() {
            Some(Ok(Value::Object(record))) => {
                records.push(record);
                start + values.byte_offset()
            }
            _ => start + 1,
        };
        rest = &rest[next..];
    }
    records
}

/// Formats a record as a line of text output, with the time since `start_ms`.
fn format_record(record: &Map<String, Value>, start_ms: u64) -> String {
    let time_ms = record.get("time_ms").and_then(Value::as_u64).unwrap_or_default();
    let inputs =
        record.iter().filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
    let inputs: Vec<_> = inputs
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            value => format!("{name}={value}"),
        })
        .collect();
    format!(
        "+{} ms {} {}: {}",
        time_ms.saturating_sub(start_ms),
        text_field(record, "node"),
        text_field(record, "message"),
        inputs.join(" ")
    )
}

/// Returns a string field of a record; empty if it is missing or not a string.
fn text_field<'r>(record: &'r Map<String, Value>, name: &str) -> &'r str {
    record.get(name).and_then(Value::as_str).unwrap_or_default()
}
