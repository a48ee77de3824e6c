//! `lentilreach domain`: takes failure domains out of service and brings them back.

use clap::{Arg, ArgMatches, Command};
use futures_lite::future;
use jiff::Timestamp;
use lentilreach::process::submit::{Force, Target};
use lentilreach::version::config::Domain;
use serde_json::json;

use crate::context::Context;
use crate::reply::{Reply, Status};
use crate::{backend, confirm, submit, wait};

/// The name of the subcommand.
pub const NAME: &str = "domain";

/// Help below the options.
const EXAMPLE: &str = "\
Example:
  lentilreach --store 127.1.0.250:2379 domain out raum-nord --yes
  lentilreach --store 127.1.0.250:2379 domain list";

/// The subcommand.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Take a failure domain out of service or bring it back")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(turn(
            "out",
            "Take a failure domain out of service; its open flows end",
        ))
        .subcommand(turn("back", "Bring a failure domain back into service"))
        .subcommand(
            Command::new("list").about("List all failure domains").after_help(
                "Example:\n  lentilreach --store 127.1.0.250:2379 domain list",
            ),
        )
        .after_help(EXAMPLE)
}

/// Changes or lists failure domains.
pub fn run(context: &Context, matches: &ArgMatches) -> Reply {
    match matches.subcommand() {
        Some(("out", matches)) => set(context, matches, true),
        Some(("back", matches)) => set(context, matches, false),
        _ => list(context),
    }
}

/// A subcommand that changes a failure domain.
fn turn(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(Arg::new("domain").value_name("DOMAIN").help("Failure domain").required(true))
        .arg(confirm::yes())
        .args(wait::args())
        .after_help(format!(
            "Example:\n  lentilreach --store 127.1.0.250:2379 domain {name} raum-nord --yes"
        ))
}

/// Takes a failure domain out or brings it back.
fn set(context: &Context, matches: &ArgMatches, out: bool) -> Reply {
    let name = matches.get_one::<String>("domain").map_or("", String::as_str);
    submit::change(context, matches, &Target::Domain { name: name.into(), out })
}

/// Lists all failure domains.
fn list(context: &Context) -> Reply {
    let force = match backend::open(context) {
        Ok(store) => future::block_on(Force::read(&store)),
        Err(reply) => return reply,
    };
    match force {
        Ok(force) => listing(force.snapshot.domains.as_slice()),
        Err(error) => {
            Reply::failed(format!("the failure domains cannot be read: {error}"))
        }
    }
}

/// The reply that lists failure domains.
pub fn listing(domains: &[Domain]) -> Reply {
    let lines: Vec<_> = domains.iter().map(line).collect();
    let text =
        if lines.is_empty() { "no failure domains".into() } else { lines.join("\n") };
    let fields = json!({ "domains": domains.iter().map(fields).collect::<Vec<_>>() });
    Reply::new(Status::Done, text, fields)
}

/// A failure domain in one line.
pub fn line(domain: &Domain) -> String {
    let state = if domain.out { "out of service" } else { "in service" };
    let mut line = format!("{}  {state} (id {})", domain.name, domain.id.0);
    if let Some(change) = &domain.changed {
        line += &format!(", since {} by {}", time(change.wall_ms), change.operation);
    }
    line
}

/// A failure domain as JSON.
pub fn fields(domain: &Domain) -> serde_json::Value {
    let changed = domain.changed.as_ref();
    json!({
        "name": &*domain.name,
        "id": domain.id.0,
        "out": domain.out,
        "operation": changed.map(|change| &*change.operation),
        "changed_ms": changed.map(|change| change.wall_ms),
    })
}

/// A time as RFC 3339.
fn time(wall_ms: u64) -> String {
    let ms = i64::try_from(wall_ms).ok();
    let time = ms.and_then(|ms| Timestamp::from_millisecond(ms).ok());
    time.map_or_else(|| format!("{wall_ms} ms"), |time| time.to_string())
}
