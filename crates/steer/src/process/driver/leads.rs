//! Reads and writes the record of where routes lead, see [`crate::process::documents::leads`].

use std::time::{SystemTime, UNIX_EPOCH};

use lentilreach::process::store::{Entry, Error, Revision, Store, Txn, TxnResult};

use crate::process::documents::leads::{KEY, Leads};
use crate::version::routing::Routing;

/// Number of times that the record is written if another agent has changed it meanwhile.
const MAX_WRITES: u32 = 4;

/// Keeps the record in the store up to date. Lives as long as the task that follows the documents.
pub(super) struct Recorder<S> {
    /// The store.
    store: S,
    /// The record as far as is known; `None` before it was read.
    stored: Option<Stored>,
}

/// The record as it is stored.
struct Stored {
    /// The leads; none if there is no record.
    leads: Leads,
    /// Revision at which it was written; 0 if there is none.
    modified: u64,
    /// Era of the store in which that was so.
    era: u64,
    /// Revision of the last configuration whose routes were found in the record; 0 if none.
    checked: Revision,
}

impl<S: Store> Recorder<S> {
    /// Creates the state of a process that has not read the record.
    pub fn new(store: S) -> Self {
        Self { store, stored: None }
    }

    /// Reads the record. Returns its entry, if there is one.
    ///
    /// # Errors
    /// If the store doesn't answer.
    pub async fn read(&mut self) -> Result<Option<Entry>, Error> {
        let range = self.store.range(KEY).await?;
        let entry = range.get(KEY).cloned();
        self.set_stored(entry.as_ref(), range.revision.era);
        Ok(entry)
    }

    /// Reads the record at a lower cost. It may be some seconds old.
    ///
    /// # Errors
    /// If the store doesn't answer.
    pub async fn read_stale(&self) -> Result<Option<Entry>, Error> {
        Ok(self.store.range_stale(KEY).await?.get(KEY).cloned())
    }

    /// Whether the record is known to say where routes lead.
    pub fn is_current(&self, routing: &Routing) -> bool {
        let stored = self.stored.as_ref();
        stored.is_some_and(|stored| {
            stored.era == self.store.era() && stored.checked == routing.revision
        })
    }

    /// Writes where routes lead, if the record doesn't say so yet. It is read first if that
    /// is necessary.
    ///
    /// # Errors
    /// If the store doesn't answer.
    pub async fn write(&mut self, routing: &Routing) -> Result<(), Error> {
        for _ in 0..MAX_WRITES {
            let era = self.store.era();
            let stored = self.stored.as_mut().filter(|stored| stored.era == era);
            let Some(stored) = stored else {
                self.read().await?;
                continue;
            };
            if stored.leads.covers(routing) {
                stored.checked = routing.revision;
                return Ok(());
            }
            let leads = stored.leads.update(routing, unix_s());
            let Some(value) = leads.value() else {
                stored.checked = routing.revision;
                log::warn!(target: "routes", change = "too_long"; "record of routes is too long for the store");
                return Ok(());
            };
            let txn = Txn::new().compare(KEY, stored.modified).put(KEY, value);
            match self.store.write(txn).await? {
                TxnResult::Committed { revision } => {
                    let count = leads.iter().count();
                    log::info!(target: "routes", version = routing.version, leads = count; "routes are recorded");
                    let checked = Revision::default();
                    self.stored =
                        Some(Stored { leads, modified: revision, era, checked });
                }
                TxnResult::ConditionFailed { current } => {
                    let entry = current.iter().find(|entry| *entry.key == *KEY);
                    self.set_stored(entry, era);
                }
            }
            // The answer may be of another era.
            if self.store.era() != era {
                self.stored = None;
            }
        }
        Ok(())
    }

    /// Notes the stored state of the record. One that can't be read is replaced.
    fn set_stored(&mut self, entry: Option<&Entry>, era: u64) {
        let leads = entry.map(Leads::try_from).transpose().unwrap_or_default();
        self.stored = Some(Stored {
            leads: leads.unwrap_or_default(),
            modified: entry.map_or(0, |entry| entry.modified),
            era,
            checked: Revision::default(),
        });
    }
}

/// The time of day, in seconds since the Unix epoch.
pub(super) fn unix_s() -> u64 {
    // A time before 1970 counts as 1970.
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}
