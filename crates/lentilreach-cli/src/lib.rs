//! Commands of `lentilreach`, each with its `command` and its `run`.

pub mod fleet;
pub mod status;
pub mod timeline;
