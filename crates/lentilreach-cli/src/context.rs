//! The global options of one run.

use std::net::SocketAddr;

use clap::ArgMatches;

/// The global options.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Context {
    /// The addresses of the store; may be empty.
    pub store: Vec<SocketAddr>,
    /// The form of the output.
    pub report: Report,
}

impl From<&ArgMatches> for Context {
    fn from(matches: &ArgMatches) -> Self {
        let store = matches.get_many("store").unwrap_or_default().copied().collect();
        let report = match matches.get_one::<String>("report").map(String::as_str) {
            Some("json") => Report::Json,
            _ => Report::Text,
        };
        Self { store, report }
    }
}

/// The form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Report {
    /// For people.
    Text,
    /// For programs: one JSON object on standard output.
    Json,
}
