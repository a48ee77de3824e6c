//! What lives for one connection of a caller.

pub mod socket;
pub mod token;
