//! Gossip: nodes exchange their state.
//!
//! Versioned entries are pushed to random balancers; anti-entropy by digests repairs what a
//! push missed. [`core`] is the state machine; [`driver`] connects it to a link and a timer.

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
