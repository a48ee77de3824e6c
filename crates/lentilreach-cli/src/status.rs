//! `lentilreach status`: the processes and the members of each service.

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use lentilreach::process::admin::wire::{Member, Status};
use lentilreach::process::admin::{self, fetch};
use serde::Serialize;

use crate::fleet::{self, Report, Unreachable};

/// The command line of `lentilreach status`.
pub fn command() -> Command {
    Command::new("status")
        .about("Show the processes and the backend servers of each service")
        .arg(fleet::admin())
        .arg(fleet::report())
}

/// Runs `lentilreach status`.
///
/// The exit status is 1 if no process answered.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let peers = fleet::peers(matches);
    let request = |peer: String| async move { fetch::status(&peer).await };
    let answers = smol::block_on(fleet::ask(peers, request));
    let summary = Summary::new(answers);
    match fleet::form(matches) {
        Report::Text => fleet::print(&summary.text()),
        Report::Json => fleet::print_json(&summary),
    };
    ExitCode::from(u8::from(summary.processes.is_empty()))
}

/// What the processes answered.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Summary {
    /// Sorted by failure domain, role and name.
    pub processes: Vec<Status>,
    /// Processes that did not answer.
    pub unreachable: Vec<Unreachable>,
}

impl Summary {
    /// Sorts answers.
    pub fn new(answers: Vec<Result<Status, admin::Error>>) -> Self {
        let mut processes = Vec::new();
        let mut unreachable = Vec::new();
        for answer in answers {
            match answer {
                Ok(status) => processes.push(status),
                Err(error) => unreachable.push(Unreachable::from(&error)),
            }
        }
        processes.sort_by(|a, b| {
            (&a.domain, &a.role, &a.name).cmp(&(&b.domain, &b.role, &b.name))
        });
        Self { processes, unreachable }
    }

    /// The report for people.
    pub fn text(&self) -> String {
        let mut out = self.table();
        for service in self.services() {
            out.push('\n');
            out.push_str(&self.service(service));
        }
        for process in &self.unreachable {
            out.push_str(&format!("unreachable: {}\n", process.reason));
        }
        out
    }

    /// One line per process.
    fn table(&self) -> String {
        let mut rows = vec![header(&[
            "process",
            "role",
            "domain",
            "revision",
            "incarnation",
            "ready",
        ])];
        for status in &self.processes {
            let revision = status.revision.map_or("none".into(), |r| r.to_string());
            let unready = status.unready.as_deref().unwrap_or("no reason given");
            rows.push(vec![
                status.name.clone(),
                status.role.clone(),
                status.domain.clone(),
                revision,
                status.incarnation.clone(),
                if status.ready { "yes".into() } else { format!("no: {unready}") },
            ]);
        }
        fleet::columns(&rows)
    }

    /// Names of all services known to any process, sorted.
    fn services(&self) -> Vec<&str> {
        let services = self.processes.iter().flat_map(|process| &process.services);
        let mut names: Vec<&str> =
            services.map(|service| service.name.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// The members of a service, one per line.
    ///
    /// A member is shown as the process with the highest revision sees it. Other processes'
    /// views may differ for a while; a stage that they see is noted.
    fn service(&self, name: &str) -> String {
        let mut rows = vec![header(&["  member", "domain", "stage", "flows", "busy"])];
        let members = self.members(name);
        for views in &members {
            let (_, member) = views[0];
            rows.push(vec![
                format!("  {}", member.name),
                member.domain.clone(),
                stage(views),
                format!("{}/{}", member.open, member.limit),
                format!("{}/{}", member.busy, member.slots),
            ]);
        }
        let balance = imbalance(&members)
            .map_or(String::new(), |ratio| format!(", imbalance {ratio:.2}"));
        format!("{name}{balance}\n{}", fleet::columns(&rows))
    }

    /// The views of each member of a service, sorted by member; of the views, the one with
    /// the highest revision comes first.
    fn members(&self, name: &str) -> Vec<Vec<(&Status, &Member)>> {
        let mut views: Vec<(&Status, &Member)> = Vec::new();
        for process in &self.processes {
            let services = process.services.iter().filter(|service| service.name == name);
            views.extend(services.flat_map(|s| &s.members).map(|m| (process, m)));
        }
        views.sort_by(|(a, x), (b, y)| {
            x.name
                .cmp(&y.name)
                .then(b.revision.cmp(&a.revision))
                .then(a.name.cmp(&b.name))
        });
        let same = |a: &(&Status, &Member), b: &(&Status, &Member)| a.1.name == b.1.name;
        views.chunk_by(same).map(<[_]>::to_vec).collect()
    }
}

/// The stage of a member, with the processes that see another one.
fn stage(views: &[(&Status, &Member)]) -> String {
    let stage = &views[0].1.stage;
    let others: Vec<String> = views
        .iter()
        .filter(|(_, member)| member.stage != *stage)
        .map(|(process, member)| format!("{}: {}", process.name, member.stage))
        .collect();
    if others.is_empty() {
        stage.clone()
    } else {
        format!("{stage} ({})", others.join(", "))
    }
}

/// Maximum divided by mean of the open flows of active members; none without flows.
fn imbalance(members: &[Vec<(&Status, &Member)>]) -> Option<f64> {
    let views = members.iter().map(|views| views[0].1);
    let open: Vec<u32> = views
        .filter(|member| member.stage == "active")
        .map(|member| member.open)
        .collect();
    let sum: f64 = open.iter().map(|flows| f64::from(*flows)).sum();
    let max = f64::from(*open.iter().max()?);
    (sum > 0.0).then(|| max * open.len() as f64 / sum)
}

/// A row of column names.
fn header(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_uppercase()).collect()
}
