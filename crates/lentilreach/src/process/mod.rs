//! What lives for the whole process.

pub mod admin;
pub mod clock;
pub mod event;
pub mod id;
mod label;
pub mod link;
pub mod lock;
pub mod metric;
pub mod name;
pub mod pool;
pub mod signal;
