//! `lentilreach submit`: brings a configuration file into force.

use std::sync::Arc;

use clap::{ArgMatches, Command};
use futures_lite::future;
use lentilreach::process::clock::wall_ms;
use lentilreach::process::submit::{self, Fault, Outcome, Plan, Target};
use lentilreach::version::config::{Change, Service};
use lentilreach::version::diff::{Changed, Diff};
use serde_json::{Value, json};

use crate::context::Context;
use crate::reply::{Reply, Status};
use crate::{check, confirm, store, wait};

/// Name of the subcommand.
pub const NAME: &str = "submit";

/// Help text after the options.
const AFTER_HELP: &str = "\
Services of the organisation that are not in the file are removed. Failure domains are
added but never removed.

Example:
  lentilreach --store 127.1.0.250:2379 submit --wait --admin 127.1.1.1:9100 weilheim.jsonc";

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Bring a configuration file into force")
        .arg(check::file_arg())
        .arg(confirm::yes_arg())
        .args(wait::args())
        .after_help(AFTER_HELP)
}

/// Submits the configuration file.
pub fn run(context: &Context, matches: &ArgMatches) -> Reply {
    match check::load(matches) {
        Ok(document) => apply(context, matches, &Target::Document(Box::new(document))),
        Err(errors) => Reply::errors(&errors),
    }
}

/// Submits a change of any target and, with `--wait`, waits until it is in force.
pub fn apply(context: &Context, matches: &ArgMatches, target: &Target) -> Reply {
    let store = match store::connect(context) {
        Ok(store) => store,
        Err(reply) => return reply,
    };
    let change = new_change();
    let mut planned = Value::Null;
    let confirm = |plan: &Plan| {
        planned = diff_json(&plan.diff);
        confirm::ask(matches, plan)
    };
    let outcome = future::block_on(submit::submit(&store, target, &change, confirm));
    let operation = &*change.operation;
    match outcome {
        Ok(outcome) => {
            let fields = outcome_json(&outcome, operation, planned);
            let text = format!("operation {operation}: {outcome}");
            let reply = Reply::new(reply_status(&outcome), text, fields);
            wait::wait(matches, &outcome, reply)
        }
        Err(fault) => error_reply(&fault),
    }
}

/// Creates a change with a new operation name for the user who runs the command.
fn new_change() -> Change {
    let operator = std::env::var("USER").unwrap_or_default();
    let wall_ms = wall_ms();
    let operation = submit::operation(&operator, wall_ms, fastrand::u32(..));
    Change { operation, wall_ms }
}

/// Returns the reply status for an outcome.
fn reply_status(outcome: &Outcome) -> Status {
    match outcome {
        Outcome::Unchanged | Outcome::Done { .. } => Status::Done,
        Outcome::Declined | Outcome::Lost(_) | Outcome::Failed(_) => Status::Failed,
        Outcome::Unknown(_) | Outcome::Superseded(_) => Status::Unknown,
    }
}

/// Returns the JSON fields of an outcome.
fn outcome_json(outcome: &Outcome, operation: &str, planned: Value) -> Value {
    let conflicts: Vec<_> = match outcome {
        Outcome::Lost(list) | Outcome::Superseded(list) => {
            list.iter().map(ToString::to_string).collect()
        }
        _ => Vec::new(),
    };
    let (label, revision) = match outcome {
        Outcome::Unchanged => ("unchanged", None),
        Outcome::Declined => ("declined", None),
        Outcome::Done { revision, .. } => ("took-effect", Some(*revision)),
        Outcome::Lost(_) => ("lost", None),
        Outcome::Failed(_) => ("did-not-take-effect", None),
        Outcome::Unknown(_) | Outcome::Superseded(_) => ("still-unknown", None),
    };
    json!({
        "operation": operation,
        "outcome": label,
        "revision": revision,
        "planned": planned,
        "conflicts": conflicts,
        "message": outcome.to_string(),
    })
}

/// Converts a diff to JSON.
fn diff_json(diff: &Diff) -> Value {
    let paths = |services: &[Arc<Service>]| -> Vec<String> {
        services.iter().map(|service| service.path().to_string()).collect()
    };
    let changed = |changed: &Changed| {
        let changes: Vec<_> = changed.changes.iter().map(ToString::to_string).collect();
        json!({ "service": &*changed.new.path(), "changes": changes })
    };
    json!({
        "added": paths(&diff.added),
        "changed": diff.changed.iter().map(changed).collect::<Vec<_>>(),
        "removed": paths(&diff.removed),
        "domains": diff.domains.iter().map(ToString::to_string).collect::<Vec<_>>(),
    })
}

/// Returns the reply for a change that was rejected or failed before it was written.
fn error_reply(fault: &Fault) -> Reply {
    match fault {
        Fault::Document(errors) => Reply::errors(errors),
        Fault::Domain { .. } | Fault::Large { .. } => Reply::bad_input(fault.to_string()),
        Fault::Read(_) | Fault::Store(_) => Reply::failed(fault.to_string()),
    }
}
