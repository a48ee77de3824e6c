//! Immutable data that is built once for each version of the configuration or the membership.

pub mod assembly;
pub mod config;
pub mod diff;
pub mod lint;
pub mod load;
pub mod table;
pub mod view;
