//! Common parts of the commands that query the admin endpoints of many processes.

use std::future::Future;
use std::io::{self, Write};

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches};
use lentilreach::process::admin::{self, Error};
use serde::Serialize;

/// Output format of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    Text,
    /// JSON for scripts.
    Json,
}

/// A process that did not answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Unreachable {
    /// Admin address of the process.
    pub peer: String,
    /// Error of the request.
    pub reason: String,
}

impl From<&Error> for Unreachable {
    fn from(error: &Error) -> Self {
        Self { peer: error.peer().into(), reason: error.to_string() }
    }
}

/// Builds the option `--admin`.
pub fn admin_arg() -> Arg {
    Arg::new("admin")
        .long("admin")
        .value_name("HOST:PORT")
        .action(ArgAction::Append)
        .value_delimiter(',')
        .help(format!(
            "Admin address of a process; may be repeated or separated by commas [default: {}]",
            admin::DEFAULT_ADDRESS
        ))
}

/// Builds the option `--report`.
pub fn report_arg() -> Arg {
    Arg::new("report")
        .long("report")
        .value_name("FORM")
        .value_parser(PossibleValuesParser::new(["text", "json"]))
        .default_value("text")
        .help("Print text for people or JSON for scripts")
}

/// Returns the admin addresses given, sorted and without duplicates; the default address if
/// there are none.
pub fn peers(matches: &ArgMatches) -> Vec<String> {
    let mut peers: Vec<String> = match matches.get_many("admin") {
        Some(addresses) => addresses.cloned().collect(),
        None => vec![admin::DEFAULT_ADDRESS.to_string()],
    };
    peers.sort();
    peers.dedup();
    peers
}

/// Returns the format given by `--report`.
pub fn report_format(matches: &ArgMatches) -> Format {
    match matches.get_one::<String>("report").map(String::as_str) {
        Some("json") => Format::Json,
        _ => Format::Text,
    }
}

/// Runs one request per input concurrently. The answers are in the order of the inputs.
pub async fn request_all<I, T, F>(
    inputs: impl IntoIterator<Item = I>,
    request: impl Fn(I) -> F,
) -> Vec<T>
where
    T: Send + 'static,
    F: Future<Output = T> + Send + 'static,
{
    let tasks: Vec<_> =
        inputs.into_iter().map(|input| smol::spawn(request(input))).collect();
    let mut answers = Vec::with_capacity(tasks.len());
    for task in tasks {
        answers.push(task.await);
    }
    answers
}

/// Prints text. Returns false if standard output is closed.
pub fn print(text: &str) -> bool {
    let mut out = io::stdout().lock();
    out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_ok()
}

/// Prints a value as one line of JSON. Returns false if standard output is closed.
pub fn print_json(value: &impl Serialize) -> bool {
    let text = serde_json::to_string(value).expect("reports have string keys only");
    print(&(text + "\n"))
}

/// Aligns the cells of rows in columns, separated by two spaces.
pub fn align_columns(rows: &[Vec<String>]) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let cells = |column: usize| rows.iter().filter_map(move |row| row.get(column));
    let widths: Vec<usize> = (0..count)
        .map(|column| cells(column).map(|cell| cell.chars().count()).max().unwrap_or(0))
        .collect();
    let mut text = String::new();
    for row in rows {
        let padded: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        text.push_str(padded.join("  ").trim_end());
        text.push('\n');
    }
    text
}
