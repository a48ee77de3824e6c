//! State that lives for one flow.

pub mod cache;
pub mod flow;
pub mod index;
pub mod state;
pub mod table;
