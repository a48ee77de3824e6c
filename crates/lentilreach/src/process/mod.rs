//! What lives for the whole process.

pub mod clock;
pub mod id;
pub mod link;
pub mod lock;
pub mod name;
pub mod pool;
pub mod spread;
