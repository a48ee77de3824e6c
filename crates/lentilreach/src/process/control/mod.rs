//! Puts what the exchange holds in force in this process.
//!
//! [`Builder`] starts a balancer or an agent with its part in the exchange. One task per
//! process waits for changes of the exchange and applies them; decisions are in
//! [`assembly`](crate::version::assembly), [`timeline`] and [`keys`].

pub mod agent;
pub mod balancer;
pub mod board;
pub mod builder;
pub mod keys;
pub mod peers;
pub mod timeline;

pub use agent::Agent;
pub use balancer::Balancer;
pub use board::Board;
pub use builder::Builder;
