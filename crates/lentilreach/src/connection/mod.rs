//! What lives for one connection of a caller.

pub mod flow;
pub mod open;
pub mod socket;
pub mod token;
