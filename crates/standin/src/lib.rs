//! Stand-ins.

pub mod plot;
pub mod report;
