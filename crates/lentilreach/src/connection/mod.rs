//! What lives for one connection of a caller.

pub mod cid;
pub mod directory;
pub mod flow;
pub mod guide;
pub mod open;
pub mod session;
pub mod socket;
pub mod token;
