//! What lives for the whole process.

pub mod agent;
pub mod balancer;
pub mod binding;
pub mod clock;
pub mod counter;
pub mod endpoint;
pub mod entry;
pub mod heard;
pub mod id;
pub mod input;
pub mod key;
pub mod leave;
pub mod ledger;
pub mod link;
pub mod lock;
pub mod name;
pub mod pool;
pub mod seal;
pub mod settings;
pub mod site;
pub mod slot;
pub mod store;
pub mod submit;
pub mod tables;
pub mod upstream;
pub mod warmth;
