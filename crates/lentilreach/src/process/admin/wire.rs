//! The JSON form of statuses.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::id::node;
use crate::process::admin::status;
use crate::process::clock::Millis;
use crate::process::event::Role;
use crate::version::view::{Load, Stage};

/// A status as a JSON object.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Name of the process.
    pub name: String,
    /// `balancer` or `agent`.
    pub role: String,
    /// Incarnation of the process as 16 hexadecimal digits.
    pub incarnation: String,
    /// Failure domain of the process.
    pub domain: String,
    /// Whether the process is ready for traffic.
    pub ready: bool,
    /// Why the process is not ready.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unready: Option<String>,
    /// Configuration revision in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Services sorted by name.
    pub services: Vec<Service>,
}

/// A service in a [`Status`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Service {
    /// `ORGANISATION/SERVICE`.
    pub name: String,
    /// Members sorted by name.
    pub members: Vec<Member>,
}

/// A backend server in a [`Service`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Name of the agent's process.
    pub name: String,
    /// Failure domain of the backend server.
    pub domain: String,
    /// `active`, `cold`, `leaving` or `silent`.
    pub stage: String,
    /// Number of open flows.
    pub open: u32,
    /// Current limit of open flows.
    pub limit: u32,
    /// Number of running requests.
    pub busy: u16,
    /// Current limit of concurrent requests.
    pub slots: u16,
}

impl Status {
    /// Creates the JSON form of a status. `unready` is the reason why the process is not
    /// ready.
    pub fn new(status: &status::Status, unready: Option<String>) -> Self {
        let mut services: Vec<Service> =
            status.services.iter().map(Service::from).collect();
        services.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            name: status.name.to_string(),
            role: status.role.to_string(),
            incarnation: status.node.to_string(),
            domain: status.domain.to_string(),
            ready: unready.is_none(),
            unready,
            revision: status.revision,
            services,
        }
    }
}

impl From<&status::Service> for Service {
    fn from(service: &status::Service) -> Self {
        let mut members: Vec<Member> = service.members.iter().map(Member::from).collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        Self { name: service.name.to_string(), members }
    }
}

impl From<&status::Member> for Member {
    fn from(member: &status::Member) -> Self {
        let Load { open, limit, busy, slots, at: _ } = member.load;
        Self {
            name: member.name.to_string(),
            domain: member.domain.to_string(),
            stage: stage_label(member.stage).to_string(),
            open,
            limit,
            busy,
            slots,
        }
    }
}

impl TryFrom<Status> for status::Status {
    type Error = Fault;

    fn try_from(status: Status) -> Result<Self, Fault> {
        let services = status.services.into_iter().map(status::Service::try_from);
        Ok(Self {
            role: Role::find(&status.role).ok_or(Fault::Role)?,
            node: u64::from_str_radix(&status.incarnation, 16)
                .map(node::Id)
                .map_err(|_| Fault::Incarnation)?,
            name: status.name.into(),
            domain: status.domain.into(),
            revision: status.revision,
            services: services.collect::<Result<_, _>>()?,
        })
    }
}

impl TryFrom<Service> for status::Service {
    type Error = Fault;

    fn try_from(service: Service) -> Result<Self, Fault> {
        let members = service.members.into_iter().map(status::Member::try_from);
        Ok(Self {
            name: service.name.into(),
            members: members.collect::<Result<_, _>>()?,
        })
    }
}

impl TryFrom<Member> for status::Member {
    type Error = Fault;

    fn try_from(member: Member) -> Result<Self, Fault> {
        let Member { name, domain, stage, open, limit, busy, slots } = member;
        let stages = [Stage::Active, Stage::Cold, Stage::Leaving, Stage::Silent];
        let stage = stages.into_iter().find(|known| stage_label(*known) == stage);
        let load = Load { open, limit, busy, slots, at: Millis::default() };
        let (name, domain) = (name.into(), domain.into());
        Ok(Self { name, domain, stage: stage.ok_or(Fault::Stage)?, load })
    }
}

/// Why a JSON object is not a valid status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The role is unknown.
    Role,
    /// The incarnation is not hexadecimal.
    Incarnation,
    /// The stage of a member is unknown.
    Stage,
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Role => "status with an unknown role",
            Self::Incarnation => "status with an incarnation that is not hexadecimal",
            Self::Stage => "status with a member of an unknown stage",
        })
    }
}

impl std::error::Error for Fault {}

/// Name of a stage in JSON.
fn stage_label(stage: Stage) -> &'static str {
    match stage {
        Stage::Active => "active",
        Stage::Cold => "cold",
        Stage::Leaving => "leaving",
        Stage::Silent => "silent",
    }
}
