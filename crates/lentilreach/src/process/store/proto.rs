//! Generated messages, clients and servers of the part of etcd's v3 API that is used.
//!
//! Written by `tools/generate` from its `.proto` files, not edited by hand.

/// Stored data.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod mvccpb;

/// Calls.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod etcdserverpb;
