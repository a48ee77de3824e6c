//! State that lives as long as the process.

pub mod admission;
pub mod agent;
pub mod backend;
pub mod balancer;
pub mod daemon;
pub mod documents;
pub mod driver;
pub mod health;
pub mod history;
pub mod logging;
pub mod membership;
pub mod metric;
pub mod pause;
pub mod roster;
pub mod settings;
pub mod share;
pub mod view;
