//! Queue of new entries that are pushed to random peers.

use crate::process::clock::Millis;
use crate::process::gossip::entry::{Class, Document, Entry, Key};
use crate::process::gossip::message::{Chunk, entry_size};
use crate::process::gossip::state::State;

/// Entries that are still to be pushed.
#[derive(Debug, Default)]
pub struct Queue {
    /// All classes but the last, sorted by key.
    urgent: Vec<Pending>,
    /// Loads, sorted by key.
    loads: Vec<Pending>,
    /// Index in `loads` after which the next batch continues, so that each load gets its turn.
    next_load: usize,
}

impl Queue {
    /// Queues an entry for a number of pushes; replaces the remaining pushes of an older
    /// version.
    pub fn add(&mut self, key: Key, class: Class, pushes: u8) {
        let list = if class == Class::Load { &mut self.loads } else { &mut self.urgent };
        match list.binary_search_by(|pending| pending.key.cmp(&key)) {
            Ok(index) => {
                list[index] = Pending { key, class, pushes_left: pushes, pushes_done: 0 }
            }
            Err(index) => list.insert(
                index,
                Pending { key, class, pushes_left: pushes, pushes_done: 0 },
            ),
        }
    }

    /// Records that a peer already had the entry, so one push less is needed.
    pub fn note_duplicate(&mut self, key: &Key) {
        for list in [&mut self.urgent, &mut self.loads] {
            if let Ok(index) = list.binary_search_by(|pending| pending.key.cmp(key)) {
                list[index].pushes_left = list[index].pushes_left.saturating_sub(1);
                if list[index].pushes_left == 0 {
                    list.remove(index);
                }
            }
        }
    }

    /// Number of queued entries other than loads.
    pub fn urgent(&self) -> usize {
        self.urgent.len()
    }

    /// Number of queued loads.
    pub fn loads(&self) -> usize {
        self.loads.len()
    }

    /// Takes a batch for one peer: most urgent entries first, then those pushed least often.
    ///
    /// `space` is the batch size in bytes up to which entries of each class are added.
    pub fn batch(&mut self, now: Millis, state: &State, space: [usize; 4]) -> Batch {
        let mut batch = Batch::default();
        let mut order: Vec<(Class, u8, usize)> = self
            .urgent
            .iter()
            .enumerate()
            .map(|(index, pending)| (pending.class, pending.pushes_done, index))
            .collect();
        order.sort_unstable();
        for (_, _, index) in order {
            let pending = &mut self.urgent[index];
            let space = space[pending.class as usize];
            if !batch.take(now, state, pending, space) {
                break;
            }
        }
        self.urgent.retain(|pending| pending.pushes_left > 0);
        for _ in 0..self.loads.len() {
            self.next_load = (self.next_load + 1) % self.loads.len();
            if !batch.take(
                now,
                state,
                &mut self.loads[self.next_load],
                space[Class::Load as usize],
            ) {
                break;
            }
        }
        self.loads.retain(|pending| pending.pushes_left > 0);
        batch
    }
}

/// Entries for one push or response.
#[derive(Debug, Default)]
pub struct Batch {
    /// Entries that go into one message.
    pub entries: Vec<Entry>,
    /// Documents that are sent in chunks.
    pub long: Vec<Document>,
    /// Upper bound of the encoded size of `entries` in bytes.
    size: usize,
}

impl Batch {
    /// Adds the current version of an entry; returns whether the batch may take more.
    fn take(
        &mut self,
        now: Millis,
        state: &State,
        pending: &mut Pending,
        space: usize,
    ) -> bool {
        let Some(entry) = state.get(now, &pending.key) else {
            pending.pushes_left = 0;
            return true;
        };
        if !self.add(entry, space) {
            return false;
        }
        pending.pushes_left = pending.pushes_left.saturating_sub(1);
        pending.pushes_done = pending.pushes_done.saturating_add(1);
        true
    }

    /// Adds an entry if there is space; returns whether it was added. Takes at most one long
    /// document.
    pub fn add(&mut self, entry: Entry, space: usize) -> bool {
        if let Entry::Document(document) = &entry
            && Chunk::is_needed(document)
        {
            let is_free = self.long.is_empty();
            if is_free {
                self.long.push(document.clone());
            }
            return is_free;
        }
        let size = entry_size(&entry);
        if self.size + size > space {
            return false;
        }
        self.size += size;
        self.entries.push(entry);
        true
    }
}

/// A queued entry.
#[derive(Debug, Clone)]
struct Pending {
    /// Key of the entry.
    key: Key,
    /// Its traffic class.
    class: Class,
    /// Pushes left.
    pushes_left: u8,
    /// Pushes done.
    pushes_done: u8,
}
