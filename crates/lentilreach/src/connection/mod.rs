//! State and logic with the lifetime of one connection of a caller.

pub mod admission;
pub mod cid;
pub mod directory;
pub mod flow;
pub mod placement;
pub mod session;
pub mod socket;
pub mod token;
