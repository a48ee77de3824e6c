//! The operators command.

fn main() {}
