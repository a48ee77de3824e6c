//! What lives for one version of configuration or membership. Immutable once built.

pub mod assembly;
pub mod config;
pub mod diff;
pub mod load;
pub mod table;
pub mod view;
