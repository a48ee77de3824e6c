//! `lentilreach status`: shows the processes and the members of each service.

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use lentilreach::process::admin::wire::{Member, Status};
use lentilreach::process::admin::{self, fetch};
use serde::Serialize;

use crate::fleet::{self, Format, Unreachable};

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new("status")
        .about("Show the processes and the backend servers of each service")
        .arg(fleet::admin_arg())
        .arg(fleet::report_arg())
}

/// Runs `lentilreach status`.
///
/// The exit status is 1 if no process answered.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let peers = fleet::peers(matches);
    let request = |peer: String| async move { fetch::status(&peer).await };
    let answers = smol::block_on(fleet::request_all(peers, request));
    let summary = Summary::new(answers);
    match fleet::report_format(matches) {
        Format::Text => fleet::print(&summary.text()),
        Format::Json => fleet::print_json(&summary),
    };
    ExitCode::from(u8::from(summary.processes.is_empty()))
}

/// The answers of the processes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Summary {
    /// Processes that answered, sorted by failure domain, role and name.
    pub processes: Vec<Status>,
    /// Processes that did not answer.
    pub unreachable: Vec<Unreachable>,
}

impl Summary {
    /// Separates the answers from the errors, and sorts the answers.
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

    /// Formats the report as text.
    pub fn text(&self) -> String {
        let mut text = self.process_table();
        for service in self.service_names() {
            text.push('\n');
            text.push_str(&self.service_table(service));
        }
        for process in &self.unreachable {
            text.push_str(&format!("unreachable: {}\n", process.reason));
        }
        text
    }

    /// Formats a table with one line per process.
    fn process_table(&self) -> String {
        let mut rows = vec![header_row(&[
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
        fleet::align_columns(&rows)
    }

    /// Returns the sorted names of all services that any process knows.
    fn service_names(&self) -> Vec<&str> {
        let services = self.processes.iter().flat_map(|process| &process.services);
        let mut names: Vec<&str> =
            services.map(|service| service.name.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Formats a table with one line per member of a service.
    ///
    /// A member is shown as reported by the process with the highest configuration revision.
    /// Other processes may report another stage for a while; it is shown in parentheses.
    fn service_table(&self, name: &str) -> String {
        let mut rows =
            vec![header_row(&["  member", "domain", "stage", "flows", "busy"])];
        let members = self.members(name);
        for reports in &members {
            let (_, member) = reports[0];
            rows.push(vec![
                format!("  {}", member.name),
                member.domain.clone(),
                stage_text(reports),
                format!("{}/{}", member.open, member.limit),
                format!("{}/{}", member.busy, member.slots),
            ]);
        }
        let balance = imbalance(&members)
            .map_or(String::new(), |ratio| format!(", imbalance {ratio:.2}"));
        format!("{name}{balance}\n{}", fleet::align_columns(&rows))
    }

    /// Returns the members of a service, sorted by name. Each is a list of the reports of all
    /// processes that know it; the report with the highest revision comes first.
    fn members(&self, name: &str) -> Vec<Vec<(&Status, &Member)>> {
        let mut reports: Vec<(&Status, &Member)> = Vec::new();
        for process in &self.processes {
            let services = process.services.iter().filter(|service| service.name == name);
            reports.extend(services.flat_map(|s| &s.members).map(|m| (process, m)));
        }
        reports.sort_by(|(process, member), (other_process, other_member)| {
            member
                .name
                .cmp(&other_member.name)
                .then(other_process.revision.cmp(&process.revision))
                .then(process.name.cmp(&other_process.name))
        });
        let same_member =
            |a: &(&Status, &Member), b: &(&Status, &Member)| a.1.name == b.1.name;
        reports.chunk_by(same_member).map(<[_]>::to_vec).collect()
    }
}

/// Formats the stage of a member, with the processes that report another stage.
fn stage_text(reports: &[(&Status, &Member)]) -> String {
    let stage = &reports[0].1.stage;
    let others: Vec<String> = reports
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

/// Returns the largest number of open flows of an active member, divided by the mean over all
/// active members; none if there are no open flows.
fn imbalance(members: &[Vec<(&Status, &Member)>]) -> Option<f64> {
    let reports = members.iter().map(|reports| reports[0].1);
    let open: Vec<u32> = reports
        .filter(|member| member.stage == "active")
        .map(|member| member.open)
        .collect();
    let total: f64 = open.iter().map(|flows| f64::from(*flows)).sum();
    let max = f64::from(*open.iter().max()?);
    (total > 0.0).then(|| max * open.len() as f64 / total)
}

/// Returns the header row of a table.
fn header_row(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_uppercase()).collect()
}
