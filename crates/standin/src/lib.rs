//! Stand-ins.

pub mod store;
