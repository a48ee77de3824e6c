//! `lentilreach check`: finds the mistakes in an operators' file.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};
use futures_lite::future;
use lentilreach::process::input::{self, Errors};
use lentilreach::process::submit::Force;
use lentilreach::version::config::Document;
use serde_json::json;

use crate::backend;
use crate::context::Context;
use crate::reply::{Reply, Status};

/// The name of the subcommand.
pub const NAME: &str = "check";

/// Help below the options.
const EXAMPLE: &str = "\
Example:
  lentilreach check examples/weilheim.jsonc
  lentilreach --store 127.1.0.250:2379 check --report json weilheim.jsonc";

/// The subcommand.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Check a configuration file; with --store also against what is in force")
        .arg(file())
        .after_help(EXAMPLE)
}

/// The configuration file.
pub fn file() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .help("Configuration of one organisation, JSON with comments")
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

/// Checks the file.
pub fn run(context: &Context, matches: &ArgMatches) -> Reply {
    let document = match load(matches) {
        Ok(document) => document,
        Err(errors) => return Reply::errors(&errors),
    };
    if context.store.is_empty() {
        return fine(&document);
    }
    let force = match backend::open(context) {
        Ok(store) => future::block_on(Force::read(&store)),
        Err(reply) => return reply,
    };
    match force {
        Ok(force) => match document.check(&force.snapshot) {
            Ok(()) => fine(&document),
            Err(errors) => Reply::errors(&errors),
        },
        Err(error) => {
            Reply::failed(format!("the configuration in force cannot be read: {error}"))
        }
    }
}

/// Reads and parses the file that the options name.
pub fn load(matches: &ArgMatches) -> Result<Document, Errors> {
    let path = matches.get_one::<PathBuf>("file").map_or(Path::new(""), PathBuf::as_path);
    Document::parse(&path.display().to_string(), &input::load(path)?)
}

/// The reply for a file without mistakes.
fn fine(document: &Document) -> Reply {
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
