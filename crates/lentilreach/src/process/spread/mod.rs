//! The exchange of state between nodes.
//!
//! Versioned entries travel by push to random balancers and are repaired by digests. The
//! decisions are in [`core`]; [`driver`] connects them to a link and a timer.

pub mod budget;
pub mod core;
pub mod digest;
pub mod driver;
pub mod entry;
pub mod member;
pub mod message;
pub mod monitor;
pub mod push;
pub mod reassembly;
mod receive;
pub mod repair;
pub mod seal;
pub mod state;
pub mod steady;
mod tick;
pub mod watch;
pub mod wire;
