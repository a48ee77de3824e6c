//! Stand-in operators, which submit configuration changes as the command line tool does.

use lentilreach::process::clock::wall_ms;
use lentilreach::process::store::Client;
use lentilreach::process::submit::{Outcome, Target, operation, submit};
use lentilreach::version::config::{Change, Document};

/// An operator.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Client of the platform's store.
    store: Client,
}

impl Operator {
    /// Creates an operator that uses a store.
    pub fn new(store: Client) -> Self {
        Self { store }
    }

    /// Submits a configuration file and returns the revision at which it took effect.
    ///
    /// # Errors
    /// Returns an error if the file is invalid or the change does not take effect.
    pub async fn submit(&self, text: &str) -> Result<u64, String> {
        let document =
            Document::parse("demo", text).map_err(|errors| errors.to_string())?;
        self.change(&Target::Document(Box::new(document))).await
    }

    /// Takes a failure domain out of service or brings it back. Returns the revision.
    ///
    /// # Errors
    /// Returns an error if the change does not take effect.
    pub async fn set_out(&self, name: &str, out: bool) -> Result<u64, String> {
        self.change(&Target::Domain { name: name.into(), out }).await
    }

    /// Submits a change.
    async fn change(&self, target: &Target) -> Result<u64, String> {
        let wall_ms = wall_ms();
        let operation = operation("demo", wall_ms, fastrand::u32(..));
        let change = Change { operation, wall_ms };
        match submit(&self.store, target, &change, |_| true).await {
            Ok(Outcome::Done { revision, .. }) => Ok(revision),
            Ok(outcome) => Err(format!("{outcome:?}")),
            Err(error) => Err(format!("{error:?}")),
        }
    }
}
