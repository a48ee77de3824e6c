//! State that lives for one segment.

pub mod message;
pub mod placement;
pub mod segment;
