//! `lentilreach show`: prints the configuration in force.

use std::sync::Arc;

use clap::{Arg, ArgMatches, Command};
use futures_lite::future;
use lentilreach::process::input;
use lentilreach::process::submit::Force;
use lentilreach::version::config::Service;
use lentilreach::version::config::limits::Parameter;
use serde_json::{Map, Value, json};

use crate::context::Context;
use crate::reply::{Reply, Status};
use crate::{backend, domain};

/// The name of the subcommand.
pub const NAME: &str = "show";

/// Help below the options.
const EXAMPLE: &str = "\
Example:
  lentilreach --store 127.1.0.250:2379 show
  lentilreach --store 127.1.0.250:2379 show weilheim/abo-kalender --report json";

/// The subcommand.
pub fn command() -> Command {
    let service = Arg::new("service")
        .value_name("SERVICE")
        .help("One service, as NAME or ORGANISATION/NAME; all if absent");
    Command::new(NAME)
        .about("Show the configuration in force")
        .arg(service)
        .after_help(EXAMPLE)
}

/// Shows the configuration.
pub fn run(context: &Context, matches: &ArgMatches) -> Reply {
    let force = match backend::open(context) {
        Ok(store) => future::block_on(Force::read(&store)),
        Err(reply) => return reply,
    };
    let force = match force {
        Ok(force) => force,
        Err(error) => {
            return Reply::failed(format!("the configuration cannot be read: {error}"));
        }
    };
    match matches.get_one::<String>("service") {
        Some(name) => one(&force, name),
        None => all(&force),
    }
}

/// Shows the services of one name.
fn one(force: &Force, name: &str) -> Reply {
    let named =
        |service: &&Arc<Service>| &*service.name == name || *service.path() == *name;
    let found: Vec<_> = force.snapshot.services().iter().filter(named).collect();
    if found.is_empty() {
        return unknown(force, name);
    }
    let text: Vec<_> = found.iter().map(|service| text(service)).collect();
    let list: Vec<_> = found.iter().map(|service| fields(service)).collect();
    let fields = json!({ "revision": force.snapshot.revision, "services": list });
    Reply::new(Status::Done, text.join("\n"), fields)
}

/// The reply for a name that no service has.
fn unknown(force: &Force, name: &str) -> Reply {
    let services = force.snapshot.services();
    let paths: Vec<_> = services.iter().map(|service| service.path()).collect();
    let names = services.iter().map(|service| &*service.name);
    let known = names.chain(paths.iter().map(|path| &**path));
    let hint = match input::nearest(name, known) {
        Some(near) => format!("did you mean {near}?"),
        None => "lentilreach show lists all services".into(),
    };
    Reply::input(format!("there is no service {name}\n  hint: {hint}"))
}

/// Shows everything.
fn all(force: &Force) -> Reply {
    let snapshot = &force.snapshot;
    let mut lines = vec![format!("revision {}", snapshot.revision)];
    lines.extend(snapshot.domains.as_slice().iter().map(domain::line));
    lines.extend(snapshot.services().iter().map(|service| text(service)));
    lines.extend(force.refused.iter().map(|refused| format!("warning: {refused}")));
    let fields = json!({
        "revision": snapshot.revision,
        "domains": snapshot.domains.as_slice().iter().map(domain::fields).collect::<Vec<_>>(),
        "services": snapshot.services().iter().map(|s| fields(s)).collect::<Vec<_>>(),
        "refused": force.refused.iter().map(ToString::to_string).collect::<Vec<_>>(),
    });
    Reply::new(Status::Done, lines.join("\n"), fields)
}

/// A service for people.
fn text(service: &Service) -> String {
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

/// A service for programs.
fn fields(service: &Service) -> Value {
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
