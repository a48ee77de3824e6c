//! Handling of the signals that ask the process to stop.

use std::process::{self, Command};

use lentilreach::process::signal::{Listener, Signal};

/// Guards against a signal that ends the process before it can drain, and against the
/// loss of a signal that arrives before the process waits for it.
#[test]
fn sigterm_and_sigint_are_caught() {
    let mut signals = Listener::new().expect("registered");

    for (name, expected) in [("TERM", Signal::Terminate), ("INT", Signal::Interrupt)] {
        let own = process::id().to_string();
        let sent = Command::new("kill").args(["-s", name, &own]).status();
        assert!(sent.expect("kill runs").success());

        let signal = smol::block_on(signals.wait()).expect("no error");

        assert_eq!(signal, expected);
    }
}
