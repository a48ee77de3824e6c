//! State that lives as long as the process.

pub mod agent;
pub mod backend;
pub mod balancer;
pub mod daemon;
pub mod documents;
pub mod driver;
pub mod logging;
pub mod metric;
pub mod pause;
pub mod roster;
pub mod schedule;
pub mod settings;
