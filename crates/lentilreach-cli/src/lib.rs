//! Subcommands of `lentilreach`. `command` builds the arguments of a subcommand, `run` runs it.

pub mod fleet;
pub mod status;
pub mod timeline;
