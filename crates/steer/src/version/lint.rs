//! Finds what can't be meant in a configuration, and tells two versions apart.

use std::net::SocketAddrV4;

use lentilreach::Name;
use lentilreach::version::lint::Finding;

use super::routing::{Route, Service};
use crate::process::documents::Config;
use crate::process::roster::membership::Listed;

/// Shortest time that a flow takes for [`cold_rate_too_high`], in milliseconds.
const MIN_FLOW_MS: f64 = 10.0;

/// Factor between the objectives of two routes from which their requests differ in urgency.
const URGENCY_RATIO: u64 = 2;

/// Returns the findings in a configuration: those of routes, then those of services, then
/// those of the whole.
pub fn findings(config: &Config) -> Vec<Finding> {
    let routes = config.routes.iter().flat_map(|route| {
        let rules = [
            never_placed(route),
            idle_share(route),
            objective_above_deadline(route),
            idle_below_deadline(route, config.idle_ms),
        ];
        rules.into_iter().flatten().chain(missing_services(route, config))
    });
    let services = config.services.iter().flat_map(|service| {
        let rules = [
            unused_service(service, config),
            no_connections(service),
            idle_cold_rate(service),
            cold_rate_too_high(service),
            equal_priorities(service, config),
        ];
        rules.into_iter().flatten()
    });
    routes.chain(services).chain(idle_priorities(config)).collect()
}

/// A route whose weights are all zero.
fn never_placed(route: &Route) -> Option<Finding> {
    let is_idle = route.split.iter().all(|share| share.weight == 0);
    is_idle.then(|| {
        let message =
            format!("{}: all weights are zero, so no flow opens", route.address);
        Finding::error("never-placed", message, "give one service a weight above zero")
    })
}

/// A service of a route that gets no flows.
fn idle_share(route: &Route) -> Option<Finding> {
    let is_placed = route.split.iter().any(|share| share.weight > 0);
    let idle = route.split.iter().find(|share| share.weight == 0);
    idle.filter(|_| is_placed).map(|share| {
        let service = &share.service;
        let message = format!(
            "{}: {service} has the weight zero, so it gets no flows",
            route.address
        );
        Finding::warning("idle-share", message, "remove it, or give it a weight")
    })
}

/// An objective that callers don't wait for.
fn objective_above_deadline(route: &Route) -> Option<Finding> {
    let deadline_ms = route.deadline_ms?;
    let objective_ms = route.objective_ms;
    (objective_ms > deadline_ms).then(|| {
        let message = format!(
            "{}: the objective is {objective_ms} ms, but callers give up after {deadline_ms} ms",
            route.address
        );
        let hint = "lower the objective, or let callers wait longer";
        Finding::warning("objective-above-deadline", message, hint)
    })
}

/// An idle time after which a flow may be removed while its request runs.
fn idle_below_deadline(route: &Route, idle_ms: u64) -> Option<Finding> {
    let deadline_ms = route.deadline_ms.filter(|deadline_ms| *deadline_ms > idle_ms)?;
    let message = format!(
        "{}: a request may take {deadline_ms} ms, but flows may be removed after {idle_ms} ms \
         without a segment",
        route.address
    );
    let hint = "raise the idle time above the longest deadline";
    Some(Finding::warning("idle-below-deadline", message, hint))
}

/// Services of a route that the configuration lacks.
fn missing_services<'a>(
    route: &'a Route,
    config: &'a Config,
) -> impl Iterator<Item = Finding> + 'a {
    let is_missing = |name: &str| !config.services.iter().any(|s| *s.name == *name);
    let missing = route.split.iter().filter(move |share| is_missing(&share.service));
    missing.map(|share| {
        let message =
            format!("{}: service {} is not configured", route.address, share.service);
        Finding::error("missing-service", message, "add the service, or correct its name")
    })
}

/// A service that no route leads to.
fn unused_service(service: &Service, config: &Config) -> Option<Finding> {
    let mut shares = config.routes.iter().flat_map(|route| &route.split);
    let is_used = shares.any(|share| share.service == service.name);
    (!is_used).then(|| {
        let message = format!("no route leads to service {}", service.name);
        Finding::warning("unused-service", message, "remove it, or add a route")
    })
}

/// A service whose backend servers may hold no flows.
fn no_connections(service: &Service) -> Option<Finding> {
    (service.connections == 0).then(|| {
        let message = format!("service {} may hold no flows", service.name);
        Finding::error(
            "no-connections",
            message,
            "allow at least as many as there are slots",
        )
    })
}

/// A rate for cold backend servers that are never cold.
fn idle_cold_rate(service: &Service) -> Option<Finding> {
    (service.cold_per_s > 0.0 && service.cold_ms == 0).then(|| {
        let message = format!(
            "service {}: {} requests a second while cold, but backend servers are never cold",
            service.name, service.cold_per_s
        );
        Finding::warning("idle-cold-rate", message, "state how long they are cold")
    })
}

/// A rate for cold backend servers that their limit of flows does not allow.
fn cold_rate_too_high(service: &Service) -> Option<Finding> {
    let longest_ms = f64::from(service.connections) * 1_000.0 / service.cold_per_s;
    let is_cold = service.cold_ms > 0 && service.connections > 0;
    (is_cold && service.cold_per_s > 0.0 && longest_ms < MIN_FLOW_MS).then(|| {
        let Service { name, cold_per_s, connections, .. } = service;
        let message = format!(
            "service {name}: {cold_per_s} requests a second while cold, but with at most \
             {connections} flows each has to end within {longest_ms:.1} ms"
        );
        let hint = "lower the rate, or allow more flows";
        Finding::warning("cold-rate-too-high", message, hint)
    })
}

/// Routes of one service whose objectives say that one is more urgent, all with the same
/// priority.
fn equal_priorities(service: &Service, config: &Config) -> Option<Finding> {
    let leads = |route: &&Route| leads_to(route, service);
    let routes: Vec<_> = config.routes.iter().filter(leads).collect();
    let by_objective = |route: &&&Route| route.objective_ms;
    let most_urgent = routes.iter().min_by_key(by_objective)?;
    let least_urgent = routes.iter().max_by_key(by_objective)?;
    let is_equal = routes.iter().all(|route| route.priority == most_urgent.priority);
    let differs = most_urgent.objective_ms * URGENCY_RATIO <= least_urgent.objective_ms;
    (is_equal && differs && most_urgent.objective_ms > 0).then(|| {
        let message = format!(
            "service {}: the objectives of {} and {} are {} ms and {} ms, but all its routes \
             have priority {}, so neither goes first when its backend servers are busy",
            service.name,
            most_urgent.address,
            least_urgent.address,
            most_urgent.objective_ms,
            least_urgent.objective_ms,
            most_urgent.priority,
        );
        let hint = "give the more urgent route a lower priority number";
        Finding::warning("equal-priorities", message, hint)
    })
}

/// Whether a route places flows on a service.
fn leads_to(route: &Route, service: &Service) -> bool {
    route.split.iter().any(|share| share.weight > 0 && share.service == service.name)
}

/// Failure domains that are out of service although no listed member is in them.
pub fn empty_domains(domains_out: &[Name], members: &[Listed]) -> Vec<Finding> {
    let is_empty =
        |domain: &&Name| !members.iter().any(|member| member.domain == **domain);
    let empty = domains_out.iter().filter(is_empty);
    let finding = |domain| {
        let message =
            format!("failure domain {domain} is out of service, but no VM is in it");
        let hint = "correct its name, or bring it back into service";
        Finding::warning("empty-domain", message, hint)
    };
    empty.map(finding).collect()
}

/// Priorities that no two routes of a service differ in.
fn idle_priorities(config: &Config) -> Option<Finding> {
    let mut priorities: Vec<_> = config.routes.iter().map(|r| r.priority).collect();
    priorities.sort_unstable();
    priorities.dedup();
    let competes = |service: &Service| {
        let leads = |route: &&Route| leads_to(route, service);
        let mut of_service = config.routes.iter().filter(leads).map(|r| r.priority);
        let first = of_service.next();
        of_service.any(|priority| Some(priority) != first)
    };
    let is_idle = priorities.len() > 1 && !config.services.iter().any(competes);
    is_idle.then(|| {
        let message =
            "routes differ in priority, but none of them share a service".to_owned();
        let hint = "priorities only matter between routes of one service";
        Finding::warning("idle-priorities", message, hint)
    })
}

/// A difference between two versions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// What differs, after a sign: `+` for what is new, `-` for what is gone, `~` otherwise.
    pub text: String,
    /// What it does to open flows and to new ones.
    pub effect: &'static str,
    /// Whether callers or backend servers get less than before.
    pub is_tighter: bool,
}

/// The differences between an older and a newer version.
pub fn differences(old: &Config, new: &Config) -> Vec<Difference> {
    let mut differences = Vec::new();
    let addresses = old.routes.iter().chain(&new.routes).map(|route| route.address);
    for address in sorted(addresses) {
        let (before, after) = (find_route(old, address), find_route(new, address));
        differences.extend(route_differences(address, before, after));
    }
    let names = old.services.iter().chain(&new.services).map(|service| &service.name);
    for name in sorted(names) {
        let of =
            |config: &Config| config.services.iter().find(|s| s.name == *name).cloned();
        differences.extend(service_differences(name, of(old), of(new)));
    }
    if old.idle_ms != new.idle_ms {
        differences.push(changed(
            "idle time",
            (old.idle_ms, new.idle_ms),
            "flows without a segment for that long may end",
        ));
    }
    differences
}

/// The differences of the routes of an address.
fn route_differences(
    address: SocketAddrV4,
    old: Option<&Route>,
    new: Option<&Route>,
) -> Vec<Difference> {
    let whole = |sign, effect, is_tighter| {
        vec![Difference { text: format!("{sign} route {address}"), effect, is_tighter }]
    };
    let (old, new) = match (old, new) {
        (Some(old), Some(new)) => (old, new),
        (Some(_), None) => {
            return whole('-', "its open flows may end, new ones are refused", true);
        }
        _ => return whole('+', "new flows open", false),
    };
    let mut differences = Vec::new();
    if old.split != new.split {
        let list = |route: &Route| {
            let shares = route.split.iter();
            let shares: Vec<_> = shares
                .map(|share| format!("{}={}", share.service, share.weight))
                .collect();
            shares.join(",")
        };
        let text = format!("~ route {address}: {} -> {}", list(old), list(new));
        let effect = "new flows go by the new weights, open ones stay where they are";
        differences.push(Difference { text, effect, is_tighter: false });
    }
    let what = |limit: &str| format!("route {address}: {limit}");
    if old.objective_ms != new.objective_ms {
        let effect = "the order of requests that wait changes";
        let limits = (old.objective_ms, new.objective_ms);
        differences.push(changed(&what("objective"), limits, effect));
    }
    let deadline_ms = |route: &Route| route.deadline_ms.unwrap_or(u64::MAX);
    if old.deadline_ms != new.deadline_ms {
        let limits = (deadline_ms(old), deadline_ms(new));
        let effect = "requests that wait longer are left out";
        differences.push(changed(&what("deadline"), limits, effect));
    }
    if old.priority != new.priority {
        let text =
            format!("~ {}: {} -> {}", what("priority"), old.priority, new.priority);
        let effect = "the order of requests that wait changes";
        differences.push(Difference {
            text,
            effect,
            is_tighter: new.priority > old.priority,
        });
    }
    differences
}

/// The differences of the versions of a service.
fn service_differences(
    name: &str,
    old: Option<Service>,
    new: Option<Service>,
) -> Vec<Difference> {
    let whole = |sign, effect, is_tighter| {
        vec![Difference { text: format!("{sign} service {name}"), effect, is_tighter }]
    };
    let (old, new) = match (old, new) {
        (Some(old), Some(new)) => (old, new),
        (Some(_), None) => {
            return whole('-', "its backend servers get no new flows", true);
        }
        _ => return whole('+', "its backend servers may get flows", false),
    };
    let what = |limit: &str| format!("service {name}: {limit}");
    let mut differences = Vec::new();
    if old.connections != new.connections {
        let limits = (old.connections.into(), new.connections.into());
        let effect = "open flows stay, new ones are refused above it";
        differences.push(changed(&what("flows of a backend server"), limits, effect));
    }
    if old.cold_per_s != new.cold_per_s {
        let text = format!(
            "~ {}: {} -> {}",
            what("requests a second while cold"),
            old.cold_per_s,
            new.cold_per_s
        );
        // Zero means that no rate is stated.
        let is_tighter = new.cold_per_s > 0.0
            && (old.cold_per_s == 0.0 || new.cold_per_s < old.cold_per_s);
        let effect = "cold backend servers get no more than that";
        differences.push(Difference { text, effect, is_tighter });
    }
    if old.cold_ms != new.cold_ms {
        let text =
            format!("~ {}: {} -> {} ms", what("cold time"), old.cold_ms, new.cold_ms);
        let effect = "backend servers count as cold for that long after their start";
        differences.push(Difference {
            text,
            effect,
            is_tighter: new.cold_ms > old.cold_ms,
        });
    }
    differences
}

/// A limit that has changed; lower is tighter.
fn changed(what: &str, (old, new): (u64, u64), effect: &'static str) -> Difference {
    let show = |limit: u64| match limit {
        u64::MAX => "none".to_owned(),
        limit => limit.to_string(),
    };
    let text = format!("~ {what}: {} -> {}", show(old), show(new));
    Difference { text, effect, is_tighter: new < old }
}

/// The route of an address.
fn find_route(config: &Config, address: SocketAddrV4) -> Option<&Route> {
    config.routes.iter().find(|route| route.address == address)
}

/// The values, sorted and without duplicates.
fn sorted<T: Ord>(values: impl Iterator<Item = T>) -> Vec<T> {
    let mut values: Vec<_> = values.collect();
    values.sort();
    values.dedup();
    values
}
