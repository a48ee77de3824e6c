//! `lentilreach check`: checks a configuration file for errors.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};
use futures_lite::future;
use lentilreach::process::input::{self, Errors};
use lentilreach::process::submit::Current;
use lentilreach::version::config::Document;
use serde_json::json;

use crate::context::Context;
use crate::reply::{Reply, Status};
use crate::store;

/// Name of the subcommand.
pub const NAME: &str = "check";

/// Help text after the options.
const AFTER_HELP: &str = "\
Example:
  lentilreach check examples/weilheim.jsonc
  lentilreach --store 127.1.0.250:2379 check --report json weilheim.jsonc";

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Check a configuration file; with --store also against what is in force")
        .arg(file_arg())
        .after_help(AFTER_HELP)
}

/// Builds the argument `FILE`.
pub fn file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .help("Configuration of one organisation, JSON with comments")
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

/// Checks the configuration file.
pub fn run(context: &Context, matches: &ArgMatches) -> Reply {
    let document = match load(matches) {
        Ok(document) => document,
        Err(errors) => return Reply::errors(&errors),
    };
    if context.store.is_empty() {
        return valid(&document);
    }
    let current = match store::connect(context) {
        Ok(store) => future::block_on(Current::read(&store)),
        Err(reply) => return reply,
    };
    match current {
        Ok(current) => match document.check(&current.snapshot) {
            Ok(()) => valid(&document),
            Err(errors) => Reply::errors(&errors),
        },
        Err(error) => {
            Reply::failed(format!("the configuration in force cannot be read: {error}"))
        }
    }
}

/// Reads and parses the configuration file.
pub fn load(matches: &ArgMatches) -> Result<Document, Errors> {
    let path = matches.get_one::<PathBuf>("file").map_or(Path::new(""), PathBuf::as_path);
    Document::parse(&path.display().to_string(), &input::load(path)?)
}

/// Returns the reply for a file without errors.
fn valid(document: &Document) -> Reply {
    let (services, domains) = (document.services.len(), document.domains.len());
    let organisation = &document.organisation;
    let text = format!(
        "no mistakes: organisation {organisation}, {services} services, {domains} failure \
         domains"
    );
    let fields = json!({
        "organisation": &**organisation,
        "services": services,
        "domains": domains,
    });
    Reply::new(Status::Done, text, fields)
}
