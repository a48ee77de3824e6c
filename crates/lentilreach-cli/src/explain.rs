//! `lentilreach explain`: tells from log lines what happened to a flow, and why.

use std::fs;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use lentilreach_steer::connection::flow;
use serde_json::{Map, Value, json};

use crate::reply::{Reply, Status};

/// The name of the subcommand.
pub const NAME: &str = "explain";

/// Help below the options.
const EXAMPLE: &str = "\
Reads the log lines of any number of processes, also with other text around them.

Example:
  lentilreach explain 59f7292171117b0f balancer-1.log agent-1.log
  lentilreach explain --caller 100.64.0.7:40001 --address 198.18.0.1:443 *.log";

/// Fields that every line has and that are not shown as inputs of a decision.
const HEAD: [&str; 7] =
    ["time_ms", "node", "program", "event", "level", "message", "flow"];

/// Events that end a flow, or a try to open one.
const ENDS: [&str; 3] = ["refused", "dropped", "ended"];

/// Events after which a flow goes on.
const TURNS: [&str; 3] = ["offered", "accepted", "found"];

/// The subcommand.
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
        .after_help(EXAMPLE)
}

/// Explains a flow.
pub fn run(matches: &ArgMatches) -> Reply {
    let first = matches.get_one::<String>("flow").map(String::as_str).unwrap_or_default();
    let files = matches.get_many::<PathBuf>("files").into_iter().flatten();
    let mut files: Vec<&Path> = files.map(PathBuf::as_path).collect();
    let ends = (matches.get_one("caller"), matches.get_one("address"));
    let flow = match ends {
        (Some(caller), Some(service)) => {
            files.insert(0, Path::new(first));
            flow::Key { caller: *caller, service: *service }.to_string()
        }
        _ => first.to_owned(),
    };
    let mut records = Vec::new();
    for file in files {
        match fs::read(file) {
            Ok(bytes) => records.extend(read(&String::from_utf8_lossy(&bytes))),
            Err(error) => return Reply::input(format!("{}: {error}", file.display())),
        }
    }
    explain(&flow, records)
}

/// Tells what log lines say of a flow.
fn explain(flow: &str, mut records: Vec<Map<String, Value>>) -> Reply {
    records.retain(|record| text(record, "flow") == flow);
    records.sort_by_key(|record| record.get("time_ms").and_then(Value::as_u64));
    let Some(last) = records.last() else {
        return Reply::failed(format!(
            "no line speaks of flow {flow}; it did not reach these processes, or its lines \
             were suppressed (events \"suppressed\" tell how many)"
        ));
    };
    let is_telling = |record: &&Map<String, Value>| {
        let event = text(record, "event");
        ENDS.contains(&event) || TURNS.contains(&event)
    };
    let end = records.iter().rev().find(is_telling);
    let end = end.filter(|record| ENDS.contains(&text(record, "event")));
    let cause = end.map_or("none", |record| text(record, "cause")).to_owned();
    let start = records[0].get("time_ms").and_then(Value::as_u64).unwrap_or_default();
    let mut lines: Vec<_> = records.iter().map(|record| line(record, start)).collect();
    lines.push(match end {
        Some(record) => {
            format!(
                "cause: {cause}, at {} ({})",
                text(record, "node"),
                text(record, "event")
            )
        }
        None => format!("no end is recorded; last seen at {}", text(last, "node")),
    });
    let fields = json!({ "flow": flow, "cause": cause, "records": records });
    Reply::new(Status::Done, lines.join("\n"), fields)
}

/// The records in a text, whatever stands between them.
fn read(text: &str) -> Vec<Map<String, Value>> {
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

/// A record as a line for people.
fn line(record: &Map<String, Value>, start: u64) -> String {
    let time = record.get("time_ms").and_then(Value::as_u64).unwrap_or_default();
    let inputs = record.iter().filter(|(name, _)| !HEAD.contains(&name.as_str()));
    let inputs: Vec<_> = inputs
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            value => format!("{name}={value}"),
        })
        .collect();
    format!(
        "+{} ms {} {}: {}",
        time.saturating_sub(start),
        text(record, "node"),
        text(record, "message"),
        inputs.join(" ")
    )
}

/// A field as text; empty if there is none.
fn text<'r>(record: &'r Map<String, Value>, name: &str) -> &'r str {
    record.get(name).and_then(Value::as_str).unwrap_or_default()
}
