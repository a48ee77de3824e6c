//! `lentilreach check`: checks a configuration file for errors.

mod segments;

use std::path::{Path, PathBuf};
use std::sync::Arc;

use clap::{Arg, ArgMatches, Command, value_parser};
use futures_lite::future;
use lentilreach::process::input::{self, Errors};
use lentilreach::process::store::Error;
use lentilreach::process::submit::Current;
use lentilreach::version::config::{Document, Service};
use lentilreach::version::diff::{Change, Diff};
use lentilreach::version::lint::{self, Finding, Severity};
use serde_json::{Value, json};

use crate::context::Context;
use crate::reply::{Reply, Status};
use crate::store;

/// Name of the subcommand.
pub const NAME: &str = "check";

/// Help text after the options.
const AFTER_HELP: &str = "\
Exit status: 0 without errors; 1 if the configuration in force could not be read, or with
--deny warnings if there are any; 2 with errors.

Example:
  lentilreach check examples/weilheim.jsonc
  lentilreach check --against in-force.jsonc --deny warnings weilheim.jsonc
  lentilreach --store 127.1.0.250:2379 check --report json weilheim.jsonc
  lentilreach check --front-end segments --against in-force.json next.json";

/// Value of `--front-end` for the configuration of one organisation.
const QUIC: &str = "quic";

/// Value of `--front-end` for the operators' document of the front end for segments.
const SEGMENTS: &str = "segments";

/// Builds the subcommand.
pub fn command() -> Command {
    let front_end = Arg::new("front-end")
        .long("front-end")
        .value_name("NAME")
        .default_value(QUIC)
        .value_parser([QUIC, SEGMENTS])
        .help("Front end that the file is for");
    let against = Arg::new("against")
        .long("against")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Tell what differs from another file");
    let deny = Arg::new("deny")
        .long("deny")
        .value_name("SEVERITY")
        .value_parser(["warnings"])
        .help("Fail if there are warnings");
    Command::new(NAME)
        .about("Check a configuration file; with --store also against what is in force")
        .arg(file_arg())
        .arg(front_end)
        .arg(against)
        .arg(deny)
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
    let front_end = matches.get_one::<String>("front-end");
    if front_end.is_some_and(|name| name == SEGMENTS) {
        return segments::run(context, matches);
    }
    let document = match load(matches) {
        Ok(document) => document,
        Err(errors) => return Reply::errors(&errors),
    };
    let mut differences = match matches.get_one::<PathBuf>("against") {
        None => None,
        Some(path) => match load_file(path) {
            Ok(old) => Some(diff_of(&old.services, &document)),
            Err(errors) => return Reply::errors(&errors),
        },
    };
    let mut findings = lint::findings(&document);
    if !context.store.is_empty() {
        let current = match store::connect(context) {
            Ok(store) => future::block_on(Current::read(&store)),
            Err(reply) => return reply,
        };
        let current = match current {
            Ok(current) => current,
            Err(error) => return unreadable(&error),
        };
        findings.extend(lint::empty_domains(&document, &current.relay_domains()));
        let snapshot = current.snapshot;
        if let Err(errors) = document.check(&snapshot) {
            return Reply::errors(&errors);
        }
        let services = snapshot.services().iter();
        let own =
            services.filter(|service| service.organisation == document.organisation);
        let own: Vec<Service> = own.map(|service| (**service).clone()).collect();
        differences.get_or_insert_with(|| diff_of(&own, &document));
    }
    let (services, domains) = (document.services.len(), document.domains.len());
    let organisation = &document.organisation;
    let summary = format!(
        "organisation {organisation}, {services} services, {domains} failure domains"
    );
    let fields = json!({
        "organisation": &**organisation,
        "services": services,
        "domains": domains,
    });
    report(matches, &findings, differences, &summary, fields)
}

/// Returns the reply if the store did not answer.
fn unreadable(error: &Error) -> Reply {
    Reply::failed(format!("the configuration in force cannot be read: {error}"))
}

/// Returns the reply for a file that could be read. `differences` are lines, if the file was
/// compared with another version.
fn report(
    matches: &ArgMatches,
    findings: &[Finding],
    differences: Option<Vec<Line>>,
    summary: &str,
    fields: Value,
) -> Reply {
    let count = |severity| findings.iter().filter(|f| f.severity == severity).count();
    let (errors, warnings) = (count(Severity::Error), count(Severity::Warning));
    let denies = matches.get_one::<String>("deny").is_some();
    let status = match () {
        () if errors > 0 => Status::BadInput,
        () if warnings > 0 && denies => Status::Failed,
        () => Status::Done,
    };
    let path = matches.get_one::<PathBuf>("file").map_or(Path::new(""), PathBuf::as_path);
    let path = path.display();
    let mut lines: Vec<_> =
        findings.iter().map(|finding| located(&path.to_string(), finding)).collect();
    lines.extend(differences.iter().flatten().map(Line::text));
    lines.push(match (errors, warnings) {
        (0, 0) => format!("no mistakes: {summary}"),
        _ => format!("{errors} errors, {warnings} warnings: {summary}"),
    });
    let mut fields = fields;
    if let Value::Object(fields) = &mut fields {
        fields.insert("findings".into(), findings.iter().map(finding_json).collect());
        if let Some(differences) = &differences {
            let list = differences.iter().map(Line::json);
            fields.insert("differences".into(), list.collect());
        }
    }
    Reply::new(status, lines.join("\n"), fields)
}

/// Formats a finding after the path of its file.
fn located(path: &str, finding: &Finding) -> String {
    let separator = if finding.place.is_some() { ":" } else { ": " };
    format!("{path}{separator}{finding}")
}

/// A difference between two versions.
struct Line {
    /// What differs.
    text: String,
    /// What it does to flows; empty if that is plain.
    effect: &'static str,
    /// Whether callers or backend servers get less than before.
    is_tighter: bool,
}

impl Line {
    /// Formats it as text.
    fn text(&self) -> String {
        let Self { text, effect, .. } = self;
        let mark = if self.is_tighter { " (tighter)" } else { "" };
        match effect.is_empty() {
            true => format!("{text}{mark}"),
            false => format!("{text}{mark}\n    {effect}"),
        }
    }

    /// Formats it as JSON.
    fn json(&self) -> Value {
        json!({ "text": self.text, "effect": self.effect, "tighter": self.is_tighter })
    }
}

/// Formats a finding as JSON.
fn finding_json(finding: &Finding) -> Value {
    json!({
        "code": finding.code,
        "severity": finding.severity.as_str(),
        "line": finding.place.map(|place| place.line),
        "column": finding.place.map(|place| place.column),
        "message": finding.message,
        "hint": finding.hint,
    })
}

/// Compares the services of an older version with a document.
fn diff_of(old: &[Service], new: &Document) -> Vec<Line> {
    let shared = |services: &[Service]| -> Vec<Arc<Service>> {
        services.iter().cloned().map(Arc::new).collect()
    };
    let diff = Diff::of_services(&shared(old), &shared(&new.services));
    let whole = |sign, service: &Service, effect, is_tighter| Line {
        text: format!("{sign} {}", service.path()),
        effect,
        is_tighter,
    };
    let added = diff.added.iter().map(|s| whole('+', s, "new flows open", false));
    let removed = diff
        .removed
        .iter()
        .map(|s| whole('-', s, "its flows end, new ones are refused", true));
    let changed = diff.changed.iter().flat_map(|changed| {
        let path = changed.new.path().to_string();
        changed.changes.iter().map(move |change| Line {
            text: format!("~ {path}: {change}"),
            effect: effect(change),
            is_tighter: matches!(change, Change::Limit { old, new, .. } if new < old),
        })
    });
    added.chain(changed).chain(removed).collect()
}

/// What a change of a service does to its flows.
fn effect(change: &Change) -> &'static str {
    match change {
        Change::Address { .. } => "established flows to the old address end",
        Change::Set { .. } => "backend servers of the old set get no new flows",
        Change::Limit { .. } => "open flows stay",
    }
}

/// Reads and parses the configuration file.
pub fn load(matches: &ArgMatches) -> Result<Document, Errors> {
    let path = matches.get_one::<PathBuf>("file").map_or(Path::new(""), PathBuf::as_path);
    load_file(path)
}

/// Reads and parses a file.
fn load_file(path: &Path) -> Result<Document, Errors> {
    Document::parse(&path.display().to_string(), &input::load(path)?)
}
