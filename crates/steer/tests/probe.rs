//! Tests of the probe of a backend server, over loopback.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use lentilreach_steer::process::driver::probe::is_refused;

/// A listener at a free loopback port, and its address.
fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    (listener, address)
}

/// A backend server that runs must not be taken for gone.
#[test]
fn a_listening_process_is_not_absent() {
    let (_listener, address) = listener();

    assert!(!smol::block_on(is_refused(address)));
}

/// Callers of a backend server that crashed must get a reset.
#[test]
fn an_address_without_a_process_is_refused() {
    let (listener, address) = listener();
    drop(listener);

    assert!(smol::block_on(is_refused(address)));
}
