//! What lives for one connection of a caller.

pub mod cid;
pub mod flow;
pub mod open;
pub mod session;
pub mod socket;
pub mod token;
