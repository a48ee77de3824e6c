//! The connection to the store.

use lentilreach::process::pool::Pool;
use lentilreach::process::store::{self, Client, Settings};

use crate::context::Context;
use crate::reply::Reply;

/// Connects to the store that the options name, at the first call.
///
/// # Errors
/// If no address was given or the system refuses a thread.
pub fn open(context: &Context) -> Result<Client, Reply> {
    if context.store.is_empty() {
        return Err(Reply::input(
            "no store given\n  hint: add --store ADDRESS or set LENTILREACH_STORE",
        ));
    }
    let settings = context
        .store
        .iter()
        .fold(Settings::builder(), |builder, address| builder.endpoint(*address));
    let failed = |error| Reply::failed(format!("step=store {error}"));
    let pool = Pool::new(1).map_err(failed)?;
    store::connect(settings.build(), pool).map_err(failed)
}
