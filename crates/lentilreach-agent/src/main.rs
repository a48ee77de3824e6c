//! Daemon of the lentilreach agent.

fn main() {}
