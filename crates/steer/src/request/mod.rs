//! State that lives for one segment.

pub mod completion;
pub mod message;
pub mod placement;
pub mod segment;
