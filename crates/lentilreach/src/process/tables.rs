//! The tables shared by workers, and their lock order.
//!
//! A thread acquires locks only in increasing rank and holds none across an await:
//!
//! | rank | table |
//! | --- | --- |
//! | [`CONFIG`] | configuration documents, services served |
//! | [`MEMBERS`] | members, recent balancers |
//! | [`VIEW`] | the view used for routing |
//! | [`KEYS`] | the key ring |
//! | [`CONNECTIONS`] | open flows |
//! | [`DIRECTORY`] | opening flows at their home agent |
//! | [`SLOTS`] | the concurrency limiter of the backend server |
//! | [`LEDGER`] | the record of non-idempotent requests |
//! | [`EVENTS`] | the ring buffer of events |
//! | [`crate::process::store::LOCK_RANK`] | the locks inside the store client |

use std::sync::Arc;

use crate::process::key::Keyring;
use crate::process::lock::Ranked;
use crate::version::view::View;

/// Rank of configuration documents and services served.
pub const CONFIG: u8 = 10;
/// Rank of members and recent balancers.
pub const MEMBERS: u8 = 20;
/// Rank of the view.
pub const VIEW: u8 = 30;
/// Rank of the key ring.
pub const KEYS: u8 = 40;
/// Rank of open flows.
pub const CONNECTIONS: u8 = 50;
/// Rank of the directory of opening flows.
pub const DIRECTORY: u8 = 55;
/// Rank of the concurrency limiter of the backend server.
pub const SLOTS: u8 = 60;
/// Rank of the record of non-idempotent requests.
pub const LEDGER: u8 = 70;
/// Rank of the ring buffer of events.
pub const EVENTS: u8 = 80;

/// The tables that processes of every role have.
#[derive(Debug)]
pub struct Tables {
    /// Replaced as a whole when the configuration or the membership changes.
    view: Ranked<Arc<View>>,
    /// Replaced as a whole when keys rotate.
    keys: Ranked<Arc<Keyring>>,
}

impl Tables {
    /// Creates tables with an empty view.
    pub fn new(keyring: Keyring) -> Self {
        Self {
            view: Ranked::new(VIEW, Arc::default()),
            keys: Ranked::new(KEYS, Arc::new(keyring)),
        }
    }

    /// The current view.
    pub fn view(&self) -> Arc<View> {
        self.view.read().clone()
    }

    /// Replaces the view, unless the current one has a higher revision.
    ///
    /// Returns whether it was replaced.
    pub fn set_view(&self, view: View) -> bool {
        let mut current = self.view.write();
        if view.revision < current.revision {
            return false;
        }
        *current = Arc::new(view);
        true
    }

    /// The current keys.
    pub fn keys(&self) -> Arc<Keyring> {
        self.keys.read().clone()
    }

    /// Replaces the key ring. The new one must belong to the same process as the current one.
    pub fn set_keys(&self, mut keyring: Keyring) {
        let mut keys = self.keys.write();
        keyring.sealer.replace(&keys.sealer);
        *keys = Arc::new(keyring);
    }
}
