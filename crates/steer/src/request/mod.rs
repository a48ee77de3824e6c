//! What lives for one segment.

pub mod message;
pub mod place;
pub mod segment;
