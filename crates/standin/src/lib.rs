//! Stand-ins.

pub mod measure;
pub mod network;
