//! The status that the admin endpoint of a process reports.

use crate::id::node;
use crate::process::event::Role;
use crate::process::name::Name;
use crate::version::view::{Load, Stage};

/// The state of a process, and its view of others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Name of the process.
    pub name: Name,
    /// Role of the process.
    pub role: Role,
    /// Identifier of its incarnation.
    pub node: node::Id,
    /// Failure domain of the process.
    pub domain: Name,
    /// Configuration revision in force; none before the first.
    pub revision: Option<u64>,
    /// The services that it knows, in any order.
    pub services: Vec<Service>,
}

/// A service and its members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// `ORGANISATION/SERVICE`.
    pub name: Name,
    /// The backend servers that may serve it, in any order.
    pub members: Vec<Member>,
}

/// A backend server as the process sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of the agent's process, or its node identifier while the name is unknown.
    pub name: Name,
    /// Failure domain of the backend server.
    pub domain: Name,
    /// Its stage, which determines the work that it may get.
    pub stage: Stage,
    /// The load that it last reported. The JSON form omits the time.
    pub load: Load,
}
