//! Documents as the store holds them: JSON, with types of their own.

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
/// Fields that a later release adds are ignored, so that a fleet in the middle of a rolling
/// update still reads the document.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Service {
    /// The organisation that owns it.
    organisation: Name,
    /// Its name.
    name: Name,
    /// Where callers reach it.
    address: SocketAddr,
    /// The backend servers that may serve it.
    set: Name,
    /// What one of its backend servers can handle.
    limits: Limits,
    /// The operations that wrote it and the version before.
    #[serde(flatten)]
    marks: Marks,
}

/// The limits of a service document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Limits {
    /// Requests at once on a warm backend server.
    slots: u16,
    /// Open flows.
    connections: u32,
    /// Requests at once on a cold backend server.
    cold_slots: u16,
    /// Length of the slow start in milliseconds.
    cold_ms: u64,
    /// Length of the drain in milliseconds.
    leave_ms: u64,
    /// Requests that wait.
    queue: u16,
    /// Time of a request in milliseconds.
    deadline_ms: u64,
}

/// The domain document.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DomainList {
    /// By rising identifier.
    domains: Vec<DomainEntry>,
    /// The operations that wrote it and the version before.
    #[serde(flatten)]
    marks: Marks,
}

/// The operations in a document.
///
/// They tell an operator whose write was not answered whether it took effect, also if
/// another operation has written the document since.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Marks {
    /// The operation that wrote the document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<Name>,
    /// The operation that wrote the version before it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replaced: Option<Name>,
}

impl Marks {
    /// Reads the operations of a document; none if it cannot be read.
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
    /// When that was, in milliseconds since the Unix epoch.
    #[serde(default)]
    wall_ms: u64,
}

/// Why a document of the store is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Not JSON of the expected form.
    Json(String),
    /// An invalid name.
    Name(Name),
    /// An address that cannot serve callers.
    Address(SocketAddr),
    /// Invalid limits.
    Limits(limits::Fault),
    /// Invalid failure domains.
    Domains(domains::Fault),
}

impl config::Service {
    /// Encodes the document for the store.
    pub fn encode(&self) -> Bytes {
        encode(&Service::from(self))
    }

    /// Encodes the document as the successor of the version that `replaced` wrote.
    pub fn encode_after(&self, replaced: Option<Name>) -> Bytes {
        let mut wire = Service::from(self);
        wire.marks.replaced = replaced;
        encode(&wire)
    }

    /// Decodes a document of the store.
    ///
    /// # Errors
    /// If it is not JSON of the expected form or a value is not valid.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        decode::<Service>(bytes)?.try_into()
    }
}

impl Domains {
    /// Encodes the document for the store.
    pub fn encode(&self) -> Bytes {
        self.encode_with(Marks::default())
    }

    /// Encodes the document with the operations that wrote it and the version before.
    pub fn encode_with(&self, marks: Marks) -> Bytes {
        encode(&DomainList { marks, ..DomainList::from(self) })
    }

    /// Decodes a document of the store.
    ///
    /// # Errors
    /// If it is not JSON of the expected form or a value is not valid.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        decode::<DomainList>(bytes)?.try_into()
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
            marks: Marks { operation: service.operation.clone(), replaced: None },
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
        Self { domains, marks: Marks::default() }
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
            Self::Json(message) => write!(f, "not a document of the store: {message}"),
            Self::Name(name) => write!(f, "invalid name {name:?}"),
            Self::Address(address) => write!(f, "{address} cannot be a service address"),
            Self::Limits(fault) => fault.fmt(f),
            Self::Domains(fault) => fault.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

/// Encodes a wire type as JSON.
fn encode<T: Serialize>(wire: &T) -> Bytes {
    // The wire types have no map with other than text keys, so encoding cannot fail.
    serde_json::to_vec(wire).unwrap_or_default().into()
}

/// Decodes a wire type from JSON.
fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, Error> {
    serde_json::from_slice(bytes).map_err(|error| Error::Json(error.to_string()))
}
