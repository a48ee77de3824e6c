//! The connection to the store.

use std::net::SocketAddr;

use lentilreach::Name;
use lentilreach::process::submit::store::{Error, Range, Step, Store, Txn, Written};

use crate::context::Context;
use crate::reply::Reply;

/// The store that the options name.
///
/// # Errors
/// If no address was given.
pub fn open(context: &Context) -> Result<Absent, Reply> {
    let Some(address) = context.store.first() else {
        return Err(Reply::input(
            "no store given\n  hint: add --store ADDRESS or set LENTILREACH_STORE",
        ));
    };
    Ok(Absent { address: *address })
}

/// A store that cannot be reached, until `process::store` is merged and takes its place.
#[derive(Debug, Clone)]
pub struct Absent {
    /// The address that was asked for.
    address: SocketAddr,
}

impl Absent {
    /// The error of every call.
    fn error(&self, step: Step) -> Error {
        let peer: Name = self.address.to_string().into();
        let cause = "this build has no store client".into();
        Error::Unavailable { step, peer, cause }
    }
}

impl Store for Absent {
    async fn range(&self, _prefix: &str) -> Result<Range, Error> {
        Err(self.error(Step::Range))
    }

    async fn write(&self, _txn: Txn) -> Result<Written, Error> {
        Err(self.error(Step::Write))
    }
}
