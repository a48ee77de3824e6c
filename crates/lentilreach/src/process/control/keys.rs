//! Selects the secrets that are in force in this process.

use bytes::Bytes;

use crate::id::node;
use crate::process::gossip::seal;
use crate::process::key::document::{self, Fault};
use crate::process::key::rotate::Secrets;
use crate::process::key::{Keyring, Secret};

/// The secrets in force, from the settings and the key document.
#[derive(Debug)]
pub struct Keys {
    /// The identifier of the process.
    node: node::Id,
    /// The fleet secret from the settings. Always valid: a new process has no other secret.
    fleet: Secret,
    /// The key document that was last read.
    document: Option<Bytes>,
    /// The content of the last valid key document.
    secrets: Secrets,
    /// Identifiers of the secrets in force; the current one last.
    in_force: Vec<u8>,
}

/// A change of the keys.
#[derive(Debug)]
pub struct Change {
    /// Keys for tokens, envelopes and bindings.
    pub keyring: Keyring,
    /// Keys for gossip.
    pub gossip: Vec<seal::Key>,
    /// The identifier of the key for new messages and tokens.
    pub current: u8,
}

impl Keys {
    /// Starts with the keys derived from the fleet secret alone.
    pub fn new(node: node::Id, fleet: Secret) -> Self {
        let in_force = vec![fleet.id, fleet.id];
        Self { node, fleet, document: None, secrets: Secrets::default(), in_force }
    }

    /// The ring of the secrets in force.
    pub fn keyring(&self) -> Keyring {
        Keyring::new(self.node, std::slice::from_ref(&self.fleet), self.fleet.id)
    }

    /// Reads the key document. If it was deleted, the last one stays in force.
    ///
    /// # Errors
    /// If it is not valid; the last valid one stays in force.
    pub fn read(&mut self, document: Option<&Bytes>) -> Result<(), Fault> {
        let Some(document) = document.filter(|new| self.document.as_ref() != Some(new))
        else {
            return Ok(());
        };
        self.document = Some(document.clone());
        self.secrets = document::open(document, &self.fleet)?;
        Ok(())
    }

    /// Returns the keys in force at this wall-clock time if they changed since the last call.
    pub fn update(&mut self, wall_ms: u64) -> Option<Change> {
        let current = self.secrets.current(wall_ms);
        let own = std::iter::once(&self.fleet);
        let secrets: Vec<Secret> =
            own.chain(self.secrets.valid(wall_ms)).cloned().collect();
        let ids = secrets.iter().map(|secret| secret.id);
        let in_force: Vec<u8> = ids.chain([current]).collect();
        if in_force == self.in_force {
            return None;
        }
        self.in_force = in_force;
        let keyring = Keyring::new(self.node, &secrets, current);
        let gossip = secrets.iter().map(Secret::gossip).collect();
        Some(Change { keyring, gossip, current })
    }
}
