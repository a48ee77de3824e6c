//! The tables that workers share, and the order in which their locks are taken.
//!
//! A thread takes locks only in rising rank, and holds none over an await:
//!
//! | rank | table |
//! | --- | --- |
//! | [`CONFIG`] | configuration documents, services served |
//! | [`MEMBERS`] | members, balancers heard |
//! | [`VIEW`] | the view that routing reads |
//! | [`KEYS`] | the key ring |
//! | [`CONNECTIONS`] | open flows |
//! | [`DIRECTORY`] | where opening flows have gone |
//! | [`SLOTS`] | the gate to the backend server |
//! | [`LEDGER`] | at-most-once record |
//! | [`EVENTS`] | the ring of events |
//! | [`crate::process::store::RANK`] | the store client's own locks |

use std::sync::Arc;

use crate::process::key::Ring;
use crate::process::lock::Ranked;
use crate::version::view::View;

/// Rank of configuration documents and services served.
pub const CONFIG: u8 = 10;
/// Rank of members and balancers heard.
pub const MEMBERS: u8 = 20;
/// Rank of the view.
pub const VIEW: u8 = 30;
/// Rank of the key ring.
pub const KEYS: u8 = 40;
/// Rank of open flows.
pub const CONNECTIONS: u8 = 50;
/// Rank of the directory of opening flows.
pub const DIRECTORY: u8 = 55;
/// Rank of the gate to the backend server.
pub const SLOTS: u8 = 60;
/// Rank of the at-most-once record.
pub const LEDGER: u8 = 70;
/// Rank of the ring of events.
pub const EVENTS: u8 = 80;

/// The tables that every role has.
#[derive(Debug)]
pub struct Tables {
    /// Replaced whole when configuration or membership changes.
    view: Ranked<Arc<View>>,
    /// Replaced whole when keys rotate.
    keys: Ranked<Arc<Ring>>,
}

impl Tables {
    /// Tables with an empty view.
    pub fn new(ring: Ring) -> Self {
        Self {
            view: Ranked::new(VIEW, Arc::default()),
            keys: Ranked::new(KEYS, Arc::new(ring)),
        }
    }

    /// The view in force.
    pub fn view(&self) -> Arc<View> {
        self.view.read().clone()
    }

    /// Puts a view in force, unless one of a higher revision already is.
    ///
    /// Returns whether it was taken.
    pub fn set_view(&self, view: View) -> bool {
        let mut current = self.view.write();
        if view.revision < current.revision {
            return false;
        }
        *current = Arc::new(view);
        true
    }

    /// The keys in force.
    pub fn keys(&self) -> Arc<Ring> {
        self.keys.read().clone()
    }

    /// Puts a key ring in force. It must be of the same process as the one before.
    pub fn set_keys(&self, mut ring: Ring) {
        let mut keys = self.keys.write();
        ring.sealer.replace(&keys.sealer);
        *keys = Arc::new(ring);
    }
}
