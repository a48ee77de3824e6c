//! What commands have in common that ask the admin endpoints of many processes.

use std::future::Future;
use std::io::{self, Write};

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches};
use lentilreach::process::admin::{self, Error};
use serde::Serialize;

/// Form of what a command prints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Report {
    /// For people.
    Text,
    /// For scripts.
    Json,
}

/// A process that did not answer, in JSON reports.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Unreachable {
    /// Its admin address.
    pub peer: String,
    /// Why it is missing.
    pub reason: String,
}

impl From<&Error> for Unreachable {
    fn from(error: &Error) -> Self {
        Self { peer: error.peer().into(), reason: error.to_string() }
    }
}

/// The argument `--admin`.
pub fn admin() -> Arg {
    Arg::new("admin")
        .long("admin")
        .value_name("HOST:PORT")
        .action(ArgAction::Append)
        .value_delimiter(',')
        .help(format!(
            "Admin address of a process; may be repeated or separated by commas [default: {}]",
            admin::DEFAULT
        ))
}

/// The argument `--report`.
pub fn report() -> Arg {
    Arg::new("report")
        .long("report")
        .value_name("FORM")
        .value_parser(PossibleValuesParser::new(["text", "json"]))
        .default_value("text")
        .help("Print text for people or JSON for scripts")
}

/// The admin addresses given, without repetitions; the default one if there are none.
pub fn peers(matches: &ArgMatches) -> Vec<String> {
    let mut peers: Vec<String> = match matches.get_many("admin") {
        Some(given) => given.cloned().collect(),
        None => vec![admin::DEFAULT.to_string()],
    };
    peers.sort();
    peers.dedup();
    peers
}

/// The form of the report asked for.
pub fn form(matches: &ArgMatches) -> Report {
    match matches.get_one::<String>("report").map(String::as_str) {
        Some("json") => Report::Json,
        _ => Report::Text,
    }
}

/// Asks all questions at the same time; the answers are in the order of the questions.
pub async fn ask<Q, T, F>(
    questions: impl IntoIterator<Item = Q>,
    request: impl Fn(Q) -> F,
) -> Vec<T>
where
    T: Send + 'static,
    F: Future<Output = T> + Send + 'static,
{
    let tasks: Vec<_> =
        questions.into_iter().map(|question| smol::spawn(request(question))).collect();
    let mut answers = Vec::with_capacity(tasks.len());
    for task in tasks {
        answers.push(task.await);
    }
    answers
}

/// Prints text. Returns false when nobody reads any more.
pub fn print(text: &str) -> bool {
    let mut out = io::stdout().lock();
    out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_ok()
}

/// Prints a value as one line of JSON. Returns false when nobody reads any more.
pub fn print_json(value: &impl Serialize) -> bool {
    let text = serde_json::to_string(value).expect("reports have string keys only");
    print(&(text + "\n"))
}

/// Lines up cells in columns, separated by two spaces.
pub fn columns(rows: &[Vec<String>]) -> String {
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
