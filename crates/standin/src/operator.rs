//! Operators: they submit changes as the command does.

use lentilreach::process::clock::wall_ms;
use lentilreach::process::store::Client;
use lentilreach::process::submit::{Outcome, Target, operation, submit};
use lentilreach::version::config::{Change, Document};

/// An operator.
#[derive(Debug, Clone)]
pub struct Operator {
    /// The platform's store.
    store: Client,
}

impl Operator {
    /// An operator over a store.
    pub fn new(store: Client) -> Self {
        Self { store }
    }

    /// Submits a file; returns the revision with which it took effect.
    ///
    /// # Errors
    /// If the file has mistakes or the change does not take effect.
    pub async fn submit(&self, text: &str) -> Result<u64, String> {
        let document =
            Document::parse("demo", text).map_err(|errors| errors.to_string())?;
        self.change(&Target::Document(Box::new(document))).await
    }

    /// Takes a failure domain out or brings it back; returns the revision.
    ///
    /// # Errors
    /// If the change does not take effect.
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
            Err(fault) => Err(format!("{fault:?}")),
        }
    }
}
