//! Generates `crates/lentilreach/src/process/store/proto/` from `proto/`.
//!
//! Run it in this folder with `cargo run` after a change to the `.proto` files, and commit
//! the result. The build of the workspace needs neither this crate nor `protoc`.

use std::error::Error;
use std::path::Path;

/// Compiles both files and writes one Rust file per package.
fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = protox::compile(["kv.proto", "rpc.proto"], [root.join("proto")])?;
    tonic_prost_build::configure()
        .bytes(".")
        .build_transport(false)
        .out_dir(root.join("../../crates/lentilreach/src/process/store/proto"))
        .compile_fds(files)?;
    Ok(())
}
