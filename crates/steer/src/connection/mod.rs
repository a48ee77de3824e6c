//! What lives for one flow.

pub mod cache;
pub mod flow;
pub mod held;
pub mod index;
pub mod table;
