//! The state of a process as its admin endpoint shows it.

use crate::id::node;
use crate::process::event::Role;
use crate::process::name::Name;
use crate::version::view::{Load, Stage};

/// The state of a process and what it knows of others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The process's name.
    pub name: Name,
    /// What it does.
    pub role: Role,
    /// Its incarnation.
    pub node: node::Id,
    /// Its failure domain.
    pub domain: Name,
    /// The configuration revision in force; none before the first.
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

/// A backend server as the process knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The agent's process, or its node identifier while the name is unknown.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// What it may be given.
    pub stage: Stage,
    /// What it last said of its load. The time is not shown.
    pub load: Load,
}
