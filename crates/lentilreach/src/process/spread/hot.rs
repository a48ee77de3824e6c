//! New entries on their way to random peers.

use crate::process::clock::Millis;
use crate::process::spread::entry::{Class, Document, Entry, Key};
use crate::process::spread::message::{Part, entry_size};
use crate::process::spread::state::State;

/// Entries that are still to be pushed.
#[derive(Debug, Default)]
pub struct Queue {
    /// All classes but the last, sorted by key.
    urgent: Vec<Hot>,
    /// Loads, sorted by key.
    loads: Vec<Hot>,
    /// Where the next batch of loads starts, so that each gets its turn.
    turn: usize,
}

impl Queue {
    /// Puts an entry in for `rounds` pushes, or starts its pushes anew.
    pub fn add(&mut self, key: Key, class: Class, rounds: u8) {
        let list = if class == Class::Load { &mut self.loads } else { &mut self.urgent };
        match list.binary_search_by(|hot| hot.key.cmp(&key)) {
            Ok(index) => list[index] = Hot { key, class, left: rounds, sent: 0 },
            Err(index) => list.insert(index, Hot { key, class, left: rounds, sent: 0 }),
        }
    }

    /// Notes that a peer already had the entry, which makes further pushes less useful.
    pub fn known(&mut self, key: &Key) {
        for list in [&mut self.urgent, &mut self.loads] {
            if let Ok(index) = list.binary_search_by(|hot| hot.key.cmp(key)) {
                list[index].left = list[index].left.saturating_sub(1);
                if list[index].left == 0 {
                    list.remove(index);
                }
            }
        }
    }

    /// Number of entries other than loads that wait.
    pub fn urgent(&self) -> usize {
        self.urgent.len()
    }

    /// Number of loads that wait.
    pub fn loads(&self) -> usize {
        self.loads.len()
    }

    /// Takes a batch for one peer, the most urgent and the least often sent entries first.
    ///
    /// `space` is the size in bytes up to which entries of each class are added.
    pub fn batch(&mut self, now: Millis, state: &State, space: [usize; 4]) -> Batch {
        let mut batch = Batch::default();
        let mut order: Vec<(Class, u8, usize)> =
            self.urgent.iter().enumerate().map(|(i, h)| (h.class, h.sent, i)).collect();
        order.sort_unstable();
        for (_, _, index) in order {
            let hot = &mut self.urgent[index];
            let space = space[hot.class as usize];
            if !batch.take(now, state, hot, space) {
                break;
            }
        }
        self.urgent.retain(|hot| hot.left > 0);
        for _ in 0..self.loads.len() {
            self.turn = (self.turn + 1) % self.loads.len();
            if !batch.take(
                now,
                state,
                &mut self.loads[self.turn],
                space[Class::Load as usize],
            ) {
                break;
            }
        }
        self.loads.retain(|hot| hot.left > 0);
        batch
    }
}

/// Entries for one peer.
#[derive(Debug, Default)]
pub struct Batch {
    /// Entries that go into one message.
    pub entries: Vec<Entry>,
    /// Documents that take several messages.
    pub long: Vec<Document>,
    /// Bytes of `entries`.
    size: usize,
}

impl Batch {
    /// Adds the present version of an entry; returns whether the batch may take more.
    fn take(&mut self, now: Millis, state: &State, hot: &mut Hot, space: usize) -> bool {
        let Some(entry) = state.get(now, &hot.key) else {
            hot.left = 0;
            return true;
        };
        if !self.add(entry, space) {
            return false;
        }
        hot.left = hot.left.saturating_sub(1);
        hot.sent = hot.sent.saturating_add(1);
        true
    }

    /// Adds an entry if there is space for it. One long document fills a batch.
    pub fn add(&mut self, entry: Entry, space: usize) -> bool {
        if let Entry::Document(document) = &entry
            && Part::is_needed(document)
        {
            let free = self.long.is_empty();
            if free {
                self.long.push(document.clone());
            }
            return free;
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

/// An entry that is still to be pushed.
#[derive(Debug, Clone)]
struct Hot {
    /// The entry.
    key: Key,
    /// Its class.
    class: Class,
    /// Pushes left.
    left: u8,
    /// Pushes done.
    sent: u8,
}
