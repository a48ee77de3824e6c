//! `lentilreach domain`: takes failure domains out of service and brings them back.

use clap::{Arg, ArgMatches, Command};
use futures_lite::future;
use jiff::Timestamp;
use lentilreach::process::submit::{Current, Target};
use lentilreach::version::config::Domain;
use serde_json::json;

use crate::context::Context;
use crate::reply::{Reply, Status};
use crate::{confirm, store, submit, wait};

/// Name of the subcommand.
pub const NAME: &str = "domain";

/// Help text after the options.
const AFTER_HELP: &str = "\
Example:
  lentilreach --store 127.1.0.250:2379 domain out raum-nord --yes
  lentilreach --store 127.1.0.250:2379 domain list";

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Take a failure domain out of service or bring it back")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(change_command(
            "out",
            "Take a failure domain out of service; its open flows end",
        ))
        .subcommand(change_command("back", "Bring a failure domain back into service"))
        .subcommand(
            Command::new("list").about("List all failure domains").after_help(
                "Example:\n  lentilreach --store 127.1.0.250:2379 domain list",
            ),
        )
        .after_help(AFTER_HELP)
}

/// Runs the subcommand of `domain`.
pub fn run(context: &Context, matches: &ArgMatches) -> Reply {
    match matches.subcommand() {
        Some(("out", matches)) => set_out(context, matches, true),
        Some(("back", matches)) => set_out(context, matches, false),
        _ => list(context),
    }
}

/// Builds the subcommand `out` or `back`.
fn change_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(Arg::new("domain").value_name("DOMAIN").help("Failure domain").required(true))
        .arg(confirm::yes_arg())
        .args(wait::args())
        .after_help(format!(
            "Example:\n  lentilreach --store 127.1.0.250:2379 domain {name} raum-nord --yes"
        ))
}

/// Takes a failure domain out of service or brings it back.
fn set_out(context: &Context, matches: &ArgMatches, out: bool) -> Reply {
    let name = matches.get_one::<String>("domain").map_or("", String::as_str);
    submit::apply(context, matches, &Target::Domain { name: name.into(), out })
}

/// Lists all failure domains.
fn list(context: &Context) -> Reply {
    let current = match store::connect(context) {
        Ok(store) => future::block_on(Current::read(&store)),
        Err(reply) => return reply,
    };
    match current {
        Ok(current) => list_reply(current.snapshot.domains.as_slice()),
        Err(error) => {
            Reply::failed(format!("the failure domains cannot be read: {error}"))
        }
    }
}

/// Returns the reply that lists failure domains.
pub fn list_reply(domains: &[Domain]) -> Reply {
    let lines: Vec<_> = domains.iter().map(format_line).collect();
    let text =
        if lines.is_empty() { "no failure domains".into() } else { lines.join("\n") };
    let fields = json!({ "domains": domains.iter().map(to_json).collect::<Vec<_>>() });
    Reply::new(Status::Done, text, fields)
}

/// Formats a failure domain as one line of text output.
pub fn format_line(domain: &Domain) -> String {
    let state = if domain.out { "out of service" } else { "in service" };
    let mut line = format!("{}  {state} (id {})", domain.name, domain.id.0);
    if let Some(change) = &domain.changed {
        line +=
            &format!(", since {} by {}", format_time(change.wall_ms), change.operation);
    }
    line
}

/// Converts a failure domain to JSON.
pub fn to_json(domain: &Domain) -> serde_json::Value {
    let changed = domain.changed.as_ref();
    json!({
        "name": &*domain.name,
        "id": domain.id.0,
        "out": domain.out,
        "operation": changed.map(|change| &*change.operation),
        "changed_ms": changed.map(|change| change.wall_ms),
    })
}

/// Formats a time as RFC 3339, or as milliseconds if it is out of range.
fn format_time(wall_ms: u64) -> String {
    let ms = i64::try_from(wall_ms).ok();
    let time = ms.and_then(|ms| Timestamp::from_millisecond(ms).ok());
    time.map_or_else(|| format!("{wall_ms} ms"), |time| time.to_string())
}
