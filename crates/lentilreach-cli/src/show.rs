//! `lentilreach show`: prints the configuration in force.

use std::sync::Arc;

use clap::{Arg, ArgMatches, Command};
use futures_lite::future;
use lentilreach::process::input;
use lentilreach::process::submit::Current;
use lentilreach::version::config::Service;
use lentilreach::version::config::limits::Parameter;
use serde_json::{Map, Value, json};

use crate::context::Context;
use crate::reply::{Reply, Status};
use crate::{domain, store};

/// Name of the subcommand.
pub const NAME: &str = "show";

/// Help text after the options.
const AFTER_HELP: &str = "\
Example:
  lentilreach --store 127.1.0.250:2379 show
  lentilreach --store 127.1.0.250:2379 show weilheim/abo-kalender --report json";

/// Builds the subcommand.
pub fn command() -> Command {
    let service = Arg::new("service")
        .value_name("SERVICE")
        .help("One service, as NAME or ORGANISATION/NAME; all if absent");
    Command::new(NAME)
        .about("Show the configuration in force")
        .arg(service)
        .after_help(AFTER_HELP)
}

/// Shows the configuration in force, or a part of it.
pub fn run(context: &Context, matches: &ArgMatches) -> Reply {
    let current = match store::connect(context) {
        Ok(store) => future::block_on(Current::read(&store)),
        Err(reply) => return reply,
    };
    let current = match current {
        Ok(current) => current,
        Err(error) => {
            return Reply::failed(format!("the configuration cannot be read: {error}"));
        }
    };
    match matches.get_one::<String>("service") {
        Some(name) => show_service(&current, name),
        None => show_all(&current),
    }
}

/// Shows the services with a name, of any organisation unless the name includes one.
fn show_service(current: &Current, name: &str) -> Reply {
    let has_name =
        |service: &&Arc<Service>| &*service.name == name || *service.path() == *name;
    let found: Vec<_> = current.snapshot.services().iter().filter(has_name).collect();
    if found.is_empty() {
        return not_found(current, name);
    }
    let text: Vec<_> = found.iter().map(|service| format_service(service)).collect();
    let list: Vec<_> = found.iter().map(|service| to_json(service)).collect();
    let fields = json!({ "revision": current.snapshot.revision, "services": list });
    Reply::new(Status::Done, text.join("\n"), fields)
}

/// Returns the reply for a name that no service has, with the most similar name as a hint.
fn not_found(current: &Current, name: &str) -> Reply {
    let services = current.snapshot.services();
    let paths: Vec<_> = services.iter().map(|service| service.path()).collect();
    let names = services.iter().map(|service| &*service.name);
    let known = names.chain(paths.iter().map(|path| &**path));
    let hint = match input::nearest(name, known) {
        Some(near) => format!("did you mean {near}?"),
        None => "lentilreach show lists all services".into(),
    };
    Reply::bad_input(format!("there is no service {name}\n  hint: {hint}"))
}

/// Shows the whole configuration.
fn show_all(current: &Current) -> Reply {
    let snapshot = &current.snapshot;
    let mut lines = vec![format!("revision {}", snapshot.revision)];
    lines.extend(snapshot.domains.as_slice().iter().map(domain::format_line));
    lines.extend(snapshot.services().iter().map(|service| format_service(service)));
    lines.extend(current.refused.iter().map(|refused| format!("warning: {refused}")));
    let fields = json!({
        "revision": snapshot.revision,
        "domains": snapshot.domains.as_slice().iter().map(domain::to_json).collect::<Vec<_>>(),
        "services": snapshot.services().iter().map(|s| to_json(s)).collect::<Vec<_>>(),
        "refused": current.refused.iter().map(ToString::to_string).collect::<Vec<_>>(),
    });
    Reply::new(Status::Done, lines.join("\n"), fields)
}

/// Formats a service as text.
fn format_service(service: &Service) -> String {
    let mut lines = vec![service.path().to_string()];
    lines.push(format!("    address {}", service.address));
    lines.push(format!("    set {}", service.set));
    for parameter in Parameter::ALL {
        lines.push(format!("    {parameter} {}", service.limits.get(parameter)));
    }
    if let Some(operation) = &service.operation {
        lines.push(format!("    written by operation {operation}"));
    }
    lines.join("\n")
}

/// Converts a service to JSON.
fn to_json(service: &Service) -> Value {
    let limits = Parameter::ALL
        .into_iter()
        .map(|parameter| (parameter.to_string(), service.limits.get(parameter).into()));
    json!({
        "organisation": &*service.organisation,
        "name": &*service.name,
        "address": service.address.to_string(),
        "set": &*service.set,
        "limits": limits.collect::<Map<_, _>>(),
        "operation": service.operation.as_deref(),
    })
}
