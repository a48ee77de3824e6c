//! Judges a run by what callers and backend servers observed.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddrV4;

use lentilreach_steer::connection::flow;
use serde::Serialize;

use super::layout;
use super::record::{Event, Fact, Lifetime, Scope};

/// Time after which a draining backend server gets no new flow, and a configuration is in
/// force, in milliseconds.
pub const IN_FORCE_MS: u64 = 3_000;

/// Time after which a failure domain that is out of service gets no new flow, in milliseconds.
pub const EVACUATED_MS: u64 = 5_000;

/// Smallest share of requests that are answered once all faults have ended.
pub const ANSWERED_SHARE: f64 = 0.99;

/// A promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// An open flow whose backend server lives is reset by that server only.
    Flow,
    /// No segment reaches a backend server of another service.
    Service,
    /// No answer reaches another caller.
    Answer,
    /// A request runs at most once.
    Once,
    /// A draining backend server gets no new flow after 3 s.
    Drain,
    /// A configuration is in force after 3 s, and stays in force.
    Config,
    /// A failure domain that is out of service gets no new flow after 5 s.
    Evacuation,
    /// Requests are answered again once all faults have ended.
    Recovery,
}

impl Promise {
    /// All promises.
    pub const ALL: [Self; 8] = [
        Self::Flow,
        Self::Service,
        Self::Answer,
        Self::Once,
        Self::Drain,
        Self::Config,
        Self::Evacuation,
        Self::Recovery,
    ];

    /// The name in options and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Flow => "flow",
            Self::Service => "service",
            Self::Answer => "answer",
            Self::Once => "once",
            Self::Drain => "drain",
            Self::Config => "config",
            Self::Evacuation => "evacuation",
            Self::Recovery => "recovery",
        }
    }
}

impl Display for Promise {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Flow => "an open flow is reset by its living backend server only",
            Self::Service => "no segment reaches a backend server of another service",
            Self::Answer => "no answer reaches another caller",
            Self::Once => "a request runs at most once",
            Self::Drain => "a draining backend server gets no new flow after 3 s",
            Self::Config => "a configuration is in force after 3 s",
            Self::Evacuation => "a failure domain that is out gets no new flow after 5 s",
            Self::Recovery => "requests are answered after all faults have ended",
        })
    }
}

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Violation {
    /// Milliseconds since the start of the run.
    pub at_ms: u64,
    /// The promise.
    pub promise: Promise,
    /// The flow, if it is about one.
    pub flow: Option<String>,
    /// What was seen.
    pub detail: String,
}

impl Display for Violation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let flow = self.flow.as_deref().unwrap_or("-");
        let Self { at_ms, promise, detail, .. } = self;
        write!(f, "time={at_ms}ms promise=\"{promise}\" flow={flow} {detail}")
    }
}

/// The part of a run in which all faults have ended and service is measured, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Window {
    /// Its start.
    pub from_ms: u64,
    /// Its end. Requests sent before have time to be answered until the run ends.
    pub to_ms: u64,
}

/// Finds all broken promises, in the order of time. `events` are in the order of time.
pub fn judge(events: &[Event], window: Window) -> Vec<Violation> {
    let mut judge = Judge::default();
    for event in events {
        judge.observe(event.at_ms, &event.fact);
    }
    judge.violations.extend(recovery(events, window));
    judge.violations.sort_by_key(|violation| violation.at_ms);
    judge.violations
}

/// Share of the requests and openings begun in the window that were answered, with their
/// number.
pub fn answered(events: &[Event], window: Window) -> (f64, usize) {
    let is_within =
        |event: &&Event| (window.from_ms..window.to_ms).contains(&event.at_ms);
    let mut answers: Vec<u64> = Vec::new();
    for event in events {
        if let Fact::Answered { request, .. } = event.fact {
            answers.push(request);
        }
    }
    answers.sort_unstable();
    let (mut begun, mut done) = (0, 0);
    for event in events.iter().filter(is_within) {
        match event.fact {
            Fact::Sent { request, .. } => {
                begun += 1;
                done += usize::from(answers.binary_search(&request).is_ok());
            }
            Fact::NotOpened { .. } => begun += 1,
            _ => {}
        }
    }
    (done as f64 / begun.max(1) as f64, begun)
}

/// The violation if too few requests are answered in the window, or none was sent.
fn recovery(events: &[Event], window: Window) -> Option<Violation> {
    let (share, begun) = answered(events, window);
    (share < ANSWERED_SHARE).then(|| Violation {
        at_ms: window.from_ms,
        promise: Promise::Recovery,
        flow: None,
        detail: format!(
            "share={share:.3} of={begun} between={}ms..{}ms",
            window.from_ms, window.to_ms
        ),
    })
}

/// A lifetime of a backend server.
#[derive(Debug, Clone)]
struct Server {
    /// Its lifetime.
    lifetime: Lifetime,
    /// Its number.
    number: u8,
    /// Its service.
    service: &'static str,
    /// Whether it has not ended.
    is_living: bool,
    /// When an agent acknowledged that it drains.
    draining_ms: Option<u64>,
}

/// The services of an address from a time on.
#[derive(Debug, Clone)]
struct Routing {
    /// When the store accepted it.
    from_ms: u64,
    /// The version.
    version: u64,
    /// Services by address.
    routes: Vec<(SocketAddrV4, Vec<&'static str>)>,
}

/// What is known at a moment of the run.
#[derive(Debug, Default)]
struct Judge {
    /// Lifetimes, sorted.
    servers: Vec<Server>,
    /// Configurations, in the order of time.
    routings: Vec<Routing>,
    /// Failure domains that are out of service, and since when.
    out: Vec<(&'static str, u64)>,
    /// Open flows with their backend servers, sorted.
    open: Vec<(flow::Key, Lifetime)>,
    /// Flows that their backend servers have reset, sorted.
    reset: Vec<(flow::Key, Lifetime)>,
    /// Requests that have run, sorted.
    ran: Vec<u64>,
    /// The time of the last copy of each opening, and its balancer, sorted by flow.
    openings: Vec<(flow::Key, std::net::SocketAddr)>,
    /// Faults with their begin and end, in the order of begin; no end while they last.
    faults: Vec<(Scope, u64, Option<u64>)>,
    /// The violations so far.
    violations: Vec<Violation>,
}

impl Judge {
    /// Takes an observation into account.
    fn observe(&mut self, at_ms: u64, fact: &Fact) {
        match fact {
            Fact::Started { server, number, service } => {
                let (lifetime, number) = (*server, *number);
                let server = Server {
                    lifetime,
                    number,
                    service,
                    is_living: true,
                    draining_ms: None,
                };
                let index = self.servers.partition_point(|s| s.lifetime < lifetime);
                self.servers.insert(index, server);
            }
            Fact::Ended { server } => self.change(*server, |s| s.is_living = false),
            Fact::Draining { server } => {
                self.change(*server, |s| s.draining_ms = Some(at_ms));
            }
            Fact::Accepted { server, flow } => self.accepted(at_ms, *server, flow),
            Fact::Delivered { server, flow } => self.delivered(at_ms, *server, flow),
            Fact::ServerReset { server, flow } => {
                insert(&mut self.reset, (*flow, *server))
            }
            Fact::Ran { server, flow, request } => {
                if self.ran.binary_search(request).is_ok() {
                    let detail =
                        format!("request={request} server={}", self.name(*server));
                    self.add(at_ms, Promise::Once, Some(flow), detail);
                }
                insert(&mut self.ran, *request);
            }
            Fact::Opening { flow, via } => {
                let index = self.openings.partition_point(|(key, _)| key < flow);
                match self.openings.get_mut(index).filter(|(key, _)| key == flow) {
                    Some(entry) => entry.1 = *via,
                    None => self.openings.insert(index, (*flow, *via)),
                }
            }
            Fact::Opened { flow, server } => insert(&mut self.open, (*flow, *server)),
            Fact::Reset { flow, from } => self.was_reset(at_ms, flow, from),
            Fact::Closed { flow } => drop(self.close(flow)),
            Fact::Strayed { flow, from, caller } => {
                let detail = format!("caller={caller} from={from}");
                self.add(at_ms, Promise::Answer, Some(flow), detail);
            }
            Fact::Configured { version, routes } => {
                let (version, routes) = (*version, routes.clone());
                self.routings.push(Routing { from_ms: at_ms, version, routes });
            }
            Fact::Evacuated { domain, is_out } => {
                self.out.retain(|(out, _)| out != domain);
                self.out.extend(is_out.then_some((*domain, at_ms)));
            }
            Fact::Fault { scope, begins: true, .. } => {
                self.faults.push((*scope, at_ms, None));
            }
            Fact::Fault { scope, begins: false, .. } => {
                let mut faults = self.faults.iter_mut();
                if let Some(fault) =
                    faults.find(|(s, _, end)| s == scope && end.is_none())
                {
                    fault.2 = Some(at_ms);
                }
            }
            Fact::NotOpened { .. } | Fact::Sent { .. } | Fact::Answered { .. } => {}
        }
    }

    /// A caller's open flow was reset.
    fn was_reset(&mut self, at_ms: u64, flow: &flow::Key, from: &std::net::SocketAddr) {
        let Some(server) = self.close(flow) else { return };
        let is_own = self.reset.binary_search(&(*flow, server)).is_ok();
        if is_own || !self.server(server).is_some_and(|server| server.is_living) {
            return;
        }
        let detail = format!("from={from} server={}", self.name(server));
        self.add(at_ms, Promise::Flow, Some(flow), detail);
    }

    /// A backend server got the opening segment of a new flow.
    fn accepted(&mut self, at_ms: u64, lifetime: Lifetime, flow: &flow::Key) {
        let Some(server) = self.server(lifetime).cloned() else { return };
        if server.draining_ms.is_some_and(|since_ms| at_ms > since_ms + IN_FORCE_MS) {
            let detail = format!("server={} draining", self.name(lifetime));
            self.add(at_ms, Promise::Drain, Some(flow), detail);
        }
        let domain = layout::domain(server.number);
        let out = self.out.iter().find(|(out, _)| *out == domain);
        let is_late = out.is_some_and(|(_, since_ms)| {
            let in_force_ms = self.in_force_ms(*since_ms, EVACUATED_MS, &server, flow);
            in_force_ms.is_some_and(|in_force_ms| in_force_ms < at_ms)
        });
        if is_late {
            let detail = format!("server={} domain={domain}", self.name(lifetime));
            self.add(at_ms, Promise::Evacuation, Some(flow), detail);
        }
        self.check_service(at_ms, &server, flow, "opening");
        // A configuration replaces those before it once it is in force.
        let first = self.routings.iter().rposition(|routing| {
            let in_force_ms =
                self.in_force_ms(routing.from_ms, IN_FORCE_MS, &server, flow);
            in_force_ms.is_some_and(|in_force_ms| in_force_ms <= at_ms)
        });
        let valid = &self.routings[first.unwrap_or(0)..];
        if !valid.iter().any(|routing| routing.allows(flow, server.service)) {
            let version = valid.first().map_or(0, |routing| routing.version);
            let detail = format!(
                "server={} service={} version={version}",
                self.name(lifetime),
                server.service
            );
            self.add(at_ms, Promise::Config, Some(flow), detail);
        }
    }

    /// When a document must be in force on the way of an opening: once the store, the balancer
    /// and the agent had no fault for some time since its acceptance, in milliseconds. It stays
    /// in force through later faults.
    fn in_force_ms(
        &self,
        accepted_ms: u64,
        within_ms: u64,
        server: &Server,
        flow: &flow::Key,
    ) -> Option<u64> {
        let via = self.openings.binary_search_by(|(key, _)| key.cmp(flow));
        let via = via.ok().map(|index| Scope::Balancer(self.openings[index].1));
        let concerns = |scope: Scope| {
            scope == Scope::Store
                || scope == Scope::Agent(server.number)
                || Some(scope) == via
        };
        let mut from_ms = accepted_ms;
        for (scope, begin_ms, end_ms) in &self.faults {
            if *begin_ms >= from_ms + within_ms {
                break;
            }
            if concerns(*scope) && end_ms.is_none_or(|end_ms| end_ms > from_ms) {
                from_ms = (*end_ms)?;
            }
        }
        Some(from_ms + within_ms)
    }

    /// A backend server got a segment of a flow that should be open.
    fn delivered(&mut self, at_ms: u64, lifetime: Lifetime, flow: &flow::Key) {
        let Some(server) = self.server(lifetime).cloned() else { return };
        self.check_service(at_ms, &server, flow, "established");
    }

    /// Checks that a backend server's service is, or was, one of the flow's address.
    fn check_service(
        &mut self,
        at_ms: u64,
        server: &Server,
        flow: &flow::Key,
        segment: &str,
    ) {
        if !self.routings.iter().any(|routing| routing.allows(flow, server.service)) {
            let name = self.name(server.lifetime);
            let service = server.service;
            let detail = format!("server={name} service={service} segment={segment}");
            self.add(at_ms, Promise::Service, Some(flow), detail);
        }
    }

    /// Removes an open flow; returns its backend server.
    fn close(&mut self, flow: &flow::Key) -> Option<Lifetime> {
        let index = self.open.binary_search_by(|(key, _)| key.cmp(flow)).ok()?;
        Some(self.open.remove(index).1)
    }

    /// A lifetime of a backend server.
    fn server(&self, lifetime: Lifetime) -> Option<&Server> {
        let index =
            self.servers.binary_search_by_key(&lifetime, |server| server.lifetime);
        index.ok().map(|index| &self.servers[index])
    }

    /// Changes a lifetime of a backend server.
    fn change(&mut self, lifetime: Lifetime, change: impl FnOnce(&mut Server)) {
        let index =
            self.servers.binary_search_by_key(&lifetime, |server| server.lifetime);
        if let Ok(index) = index {
            change(&mut self.servers[index]);
        }
    }

    /// Name of a lifetime of a backend server.
    fn name(&self, lifetime: Lifetime) -> String {
        let number = self.server(lifetime).map_or(0, |server| server.number);
        format!("server-{number}/{lifetime}")
    }

    /// Adds a violation.
    fn add(
        &mut self,
        at_ms: u64,
        promise: Promise,
        flow: Option<&flow::Key>,
        detail: String,
    ) {
        let flow = flow.map(ToString::to_string);
        self.violations.push(Violation { at_ms, promise, flow, detail });
    }
}

impl Routing {
    /// Whether flows of an address may go to a service.
    fn allows(&self, flow: &flow::Key, service: &str) -> bool {
        let mut routes = self.routes.iter();
        routes.any(|(address, services)| {
            *address == flow.service && services.contains(&service)
        })
    }
}

/// Inserts an item into a sorted vector.
fn insert<T: Ord>(items: &mut Vec<T>, item: T) {
    let index = items.partition_point(|other| *other < item);
    items.insert(index, item);
}
