//! Signals that ask the process to stop.

use std::process::{self, Command};

use lentilreach::process::signal::{Signal, Stop};

/// Guards against a planned stop that ends the process before it has drained, and against a
/// signal that arrives before anyone waits.
#[test]
fn sigterm_and_sigint_are_awaited() {
    let mut stop = Stop::new().expect("registered");

    for (name, expected) in [("TERM", Signal::Terminate), ("INT", Signal::Interrupt)] {
        let own = process::id().to_string();
        let sent = Command::new("kill").args(["-s", name, &own]).status();
        assert!(sent.expect("kill runs").success());

        let signal = smol::block_on(stop.wait()).expect("no error");

        assert_eq!(signal, expected);
    }
}
