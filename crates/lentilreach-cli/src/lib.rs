//! Subcommands of `lentilreach`: each has `command`, which builds its arguments, and `run`.

pub mod fleet;
pub mod status;
pub mod timeline;
