//! The exchange of state between nodes.
//!
//! Versioned entries travel by push to random balancers and are repaired by digests. The
//! decisions are in [`core`]; [`driver`] connects them to a link and a timer.

pub mod attach;
pub mod budget;
pub mod core;
pub mod digest;
pub mod driver;
pub mod entry;
pub mod hot;
pub mod member;
pub mod message;
pub mod part;
mod receive;
pub mod repair;
mod round;
pub mod seal;
pub mod state;
pub mod steady;
pub mod watch;
pub mod wire;
