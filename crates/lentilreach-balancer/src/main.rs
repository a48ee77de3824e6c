//! Daemon of the lentilreach balancer.

fn main() {}
