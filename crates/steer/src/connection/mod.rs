//! State that lives for one flow.

pub mod cache;
pub mod flow;
pub mod in_flight;
pub mod index;
pub mod lifetime;
pub mod state;
pub mod table;
