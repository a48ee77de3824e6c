//! The configuration of one organisation as operators write it.

use crate::process::name::Name;
use crate::version::config::Service;

/// The whole configuration of one organisation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// The organisation.
    pub organisation: Name,
    /// Its failure domains in the order of the file.
    pub domains: Vec<Name>,
    /// Its services, sorted by name, without duplicates.
    pub services: Vec<Service>,
}
