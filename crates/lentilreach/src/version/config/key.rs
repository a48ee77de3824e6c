//! Keys of the documents in the store.
//!
//! Section 6 of the design page lists them.

use crate::process::name::Name;

/// The prefix of all keys.
pub const PREFIX: &str = "lentilreach/";

/// The prefix of all service documents.
pub const SERVICES: &str = "lentilreach/service/";

/// The key of the domain document.
pub const DOMAINS: &str = "lentilreach/domain";

/// The prefix of all template documents.
pub const TEMPLATES: &str = "lentilreach/template/";

/// The key of the key ring, which is encrypted with the fleet secret.
pub const RING: &str = "lentilreach/key";

/// The prefix of all relay slots.
pub const RELAYS: &str = "lentilreach/relay/";

/// The kind of document that is stored under a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind<'a> {
    /// A service document.
    Service {
        /// The organisation that owns it.
        organisation: &'a str,
        /// The name of the service.
        name: &'a str,
    },
    /// The domain document.
    Domains,
    /// A template document, by the name of the template.
    Template(&'a str),
    /// The key ring.
    Ring,
    /// A relay slot.
    Relay {
        /// The failure domain that it belongs to.
        domain: &'a str,
        /// The number of the slot.
        slot: u8,
    },
}

impl<'a> Kind<'a> {
    /// Parses a key; `None` if it is not the key of a document.
    pub fn parse(key: &'a str) -> Option<Self> {
        if let Some(path) = key.strip_prefix(SERVICES) {
            let (organisation, name) = path.split_once('/')?;
            return Some(Self::Service { organisation, name });
        }
        if let Some(path) = key.strip_prefix(RELAYS) {
            let (domain, slot) = path.split_once('/')?;
            return Some(Self::Relay { domain, slot: slot.parse().ok()? });
        }
        match key {
            DOMAINS => Some(Self::Domains),
            RING => Some(Self::Ring),
            _ => key.strip_prefix(TEMPLATES).map(Self::Template),
        }
    }
}

/// The key of a service document.
pub fn service(organisation: &str, name: &str) -> Name {
    format!("{SERVICES}{organisation}/{name}").into()
}

/// The prefix of an organisation's service documents.
pub fn services(organisation: &str) -> Name {
    format!("{SERVICES}{organisation}/").into()
}

/// The key of the domain document.
pub fn domains() -> Name {
    DOMAINS.into()
}

/// The key of a template document.
pub fn template(name: &str) -> Name {
    format!("{TEMPLATES}{name}").into()
}

/// The key of the key ring.
pub fn ring() -> Name {
    RING.into()
}

/// The key of a relay slot.
pub fn relay(domain: &str, slot: u8) -> Name {
    format!("{RELAYS}{domain}/{slot}").into()
}
