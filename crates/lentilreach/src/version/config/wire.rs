//! The JSON format of the documents in the store.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::domain::Id;
use crate::process::name::Name;
use crate::version::config::domains::{self, Change, Domain, Domains};
use crate::version::config::{self, is_name, limits};

/// A service document.
///
/// Unknown fields are ignored, so that older processes can read documents of a newer release
/// during a rolling update.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Service {
    /// The organisation that owns it.
    organisation: Name,
    /// Its name.
    name: Name,
    /// The address to which callers connect.
    address: SocketAddr,
    /// The set of backend servers that serve it.
    set: Name,
    /// The limits of each of its backend servers.
    limits: Limits,
    /// The operations that wrote this version and the one before it.
    #[serde(flatten)]
    marks: Operations,
}

/// The limits of a service document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Limits {
    /// Maximum number of concurrent requests on a warm backend server.
    slots: u16,
    /// Maximum number of open flows.
    connections: u32,
    /// Maximum number of concurrent requests on a cold backend server.
    cold_slots: u16,
    /// Duration of the slow start, in milliseconds.
    cold_ms: u64,
    /// Duration of the drain, in milliseconds.
    leave_ms: u64,
    /// Maximum number of requests that wait.
    queue: u16,
    /// Maximum time for a request, in milliseconds.
    deadline_ms: u64,
}

/// The domain document.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DomainList {
    /// Sorted by identifier.
    domains: Vec<DomainEntry>,
    /// The operations that wrote this version and the one before it.
    #[serde(flatten)]
    marks: Operations,
}

/// The operations that are recorded in a document.
///
/// If the answer to a write is lost, they show whether the write took effect, even if another
/// operation has replaced the document since.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Operations {
    /// The operation that wrote the document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<Name>,
    /// The operation that wrote the previous version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replaced: Option<Name>,
}

impl Operations {
    /// Reads the operations of a document; empty if the document cannot be parsed.
    pub fn read(bytes: &[u8]) -> Self {
        serde_json::from_slice(bytes).unwrap_or_default()
    }
}

/// One failure domain of the domain document.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct DomainEntry {
    /// Its name.
    name: Name,
    /// Its identifier.
    id: u8,
    /// Whether it is out of service.
    out: bool,
    /// The operation that last changed it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    operation: Option<Name>,
    /// The time of that change, in milliseconds since the Unix epoch.
    #[serde(default)]
    wall_ms: u64,
}

/// Why a document of the store is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// It is not JSON of the expected structure.
    Json(String),
    /// An invalid name.
    Name(Name),
    /// An address that cannot be the address of a service.
    Address(SocketAddr),
    /// Invalid limits.
    Limits(limits::Fault),
    /// Invalid failure domains.
    Domains(domains::Fault),
}

impl config::Service {
    /// Encodes the document for the store.
    pub fn encode(&self) -> Bytes {
        to_json(&Service::from(self))
    }

    /// Encodes the document, recording that the operation `replaced` wrote the previous
    /// version.
    pub fn encode_after(&self, replaced: Option<Name>) -> Bytes {
        let mut wire = Service::from(self);
        wire.marks.replaced = replaced;
        to_json(&wire)
    }

    /// Decodes a document of the store.
    ///
    /// # Errors
    /// If it is not JSON of the expected form or a value is not valid.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        from_json::<Service>(bytes)?.try_into()
    }
}

impl Domains {
    /// Encodes the document for the store.
    pub fn encode(&self) -> Bytes {
        self.encode_with(Operations::default())
    }

    /// Encodes the document with the operations that wrote this version and the one before it.
    pub fn encode_with(&self, marks: Operations) -> Bytes {
        to_json(&DomainList { marks, ..DomainList::from(self) })
    }

    /// Decodes a document of the store.
    ///
    /// # Errors
    /// If it is not JSON of the expected form or a value is not valid.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        from_json::<DomainList>(bytes)?.try_into()
    }
}

impl From<&config::Service> for Service {
    fn from(service: &config::Service) -> Self {
        Self {
            organisation: service.organisation.clone(),
            name: service.name.clone(),
            address: service.address,
            set: service.set.clone(),
            limits: service.limits.into(),
            marks: Operations { operation: service.operation.clone(), replaced: None },
        }
    }
}

impl TryFrom<Service> for config::Service {
    type Error = Error;

    fn try_from(wire: Service) -> Result<Self, Error> {
        for name in [&wire.organisation, &wire.name, &wire.set] {
            if !is_name(name) {
                return Err(Error::Name(name.clone()));
            }
        }
        if !config::is_address(wire.address) {
            return Err(Error::Address(wire.address));
        }
        Ok(Self {
            organisation: wire.organisation,
            name: wire.name,
            address: wire.address,
            set: wire.set,
            limits: wire.limits.try_into()?,
            operation: wire.marks.operation,
        })
    }
}

impl From<config::Limits> for Limits {
    fn from(limits: config::Limits) -> Self {
        Self {
            slots: limits.slots,
            connections: limits.connections,
            cold_slots: limits.cold_slots,
            cold_ms: limits.cold_ms,
            leave_ms: limits.leave_ms,
            queue: limits.queue,
            deadline_ms: limits.deadline_ms,
        }
    }
}

impl TryFrom<Limits> for config::Limits {
    type Error = Error;

    fn try_from(wire: Limits) -> Result<Self, Error> {
        let limits = Self {
            slots: wire.slots,
            connections: wire.connections,
            cold_slots: wire.cold_slots,
            cold_ms: wire.cold_ms,
            leave_ms: wire.leave_ms,
            queue: wire.queue,
            deadline_ms: wire.deadline_ms,
        };
        limits.check().map_err(Error::Limits)?;
        Ok(limits)
    }
}

impl From<&Domains> for DomainList {
    fn from(domains: &Domains) -> Self {
        let entry = |domain: &Domain| DomainEntry {
            name: domain.name.clone(),
            id: domain.id.0,
            out: domain.out,
            operation: domain.changed.as_ref().map(|change| change.operation.clone()),
            wall_ms: domain.changed.as_ref().map_or(0, |change| change.wall_ms),
        };
        let domains = domains.as_slice().iter().map(entry).collect();
        Self { domains, marks: Operations::default() }
    }
}

impl TryFrom<DomainList> for Domains {
    type Error = Error;

    fn try_from(wire: DomainList) -> Result<Self, Error> {
        let domain = |entry: DomainEntry| Domain {
            name: entry.name,
            id: Id(entry.id),
            out: entry.out,
            changed: entry
                .operation
                .map(|operation| Change { operation, wall_ms: entry.wall_ms }),
        };
        Self::new(wire.domains.into_iter().map(domain).collect()).map_err(Error::Domains)
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json(message) => write!(f, "not a valid document: {message}"),
            Self::Name(name) => write!(f, "invalid name {name:?}"),
            Self::Address(address) => write!(f, "{address} cannot be a service address"),
            Self::Limits(fault) => fault.fmt(f),
            Self::Domains(fault) => fault.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

/// Encodes a wire type as JSON.
fn to_json<T: Serialize>(wire: &T) -> Bytes {
    // Encoding fails only for maps with keys other than strings, which no wire type has.
    serde_json::to_vec(wire).unwrap_or_default().into()
}

/// Decodes a wire type from JSON.
fn from_json<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, Error> {
    serde_json::from_slice(bytes).map_err(|error| Error::Json(error.to_string()))
}
