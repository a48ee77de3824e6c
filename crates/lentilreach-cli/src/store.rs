//! Connects to the store.

use lentilreach::process::pool::Pool;
use lentilreach::process::store::{self, Client, Settings};

use crate::context::Context;
use crate::reply::Reply;

/// Creates a client of the store given by `--store`; it connects with its first call.
///
/// # Errors
/// If no address was given or no thread can be started.
pub fn connect(context: &Context) -> Result<Client, Reply> {
    if context.store.is_empty() {
        return Err(Reply::bad_input(
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
