//! Control plane of a process: puts the configuration that gossip delivers in force.
//!
//! [`Builder`] starts a balancer or an agent with its gossip service. One task per process
//! waits for changes reported by gossip and applies them; the decisions are in
//! [`assembly`](crate::version::assembly), [`timeline`] and [`keys`].

pub mod agent;
pub mod balancer;
pub mod builder;
pub mod keys;
pub mod peers;
pub mod status;
pub mod timeline;

pub use agent::Agent;
pub use balancer::Balancer;
pub use builder::Builder;
pub use status::StatusSource;
