//! Global options of the command.

use std::net::SocketAddr;

use clap::ArgMatches;

/// Values of the global options.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Context {
    /// Addresses of the store; empty if none were given.
    pub store: Vec<SocketAddr>,
    /// Output format.
    pub format: Format,
}

impl From<&ArgMatches> for Context {
    fn from(matches: &ArgMatches) -> Self {
        let store = matches.get_many("store").unwrap_or_default().copied().collect();
        let format = match matches.get_one::<String>("report").map(String::as_str) {
            Some("json") => Format::Json,
            _ => Format::Text,
        };
        Self { store, format }
    }
}

/// Output format of a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    Text,
    /// JSON for scripts: one object on standard output.
    Json,
}
