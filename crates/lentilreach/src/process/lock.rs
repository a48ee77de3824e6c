//! Locks with a rank, so that the lock order is checked where it is used.

#[cfg(debug_assertions)]
use std::cell::RefCell;
use std::ops::{Deref, DerefMut};

use parking_lot::{RwLock, RwLockReadGuard, RwLockWriteGuard};

/// A table shared by workers, behind a read-write lock with a rank.
///
/// A thread may take a lock only if its rank is higher than every rank that it holds. Debug
/// builds assert this. No guard may be held over an await.
#[derive(Debug)]
pub struct Ranked<T> {
    /// Position in the lock order, see [`crate::process::tables`].
    rank: u8,
    /// The table.
    inner: RwLock<T>,
}

impl<T> Ranked<T> {
    /// Puts a table behind a lock of the given rank.
    pub fn new(rank: u8, value: T) -> Self {
        Self { rank, inner: RwLock::new(value) }
    }

    /// Locks the table for reading.
    pub fn read(&self) -> Guard<RwLockReadGuard<'_, T>> {
        let held = Held::take(self.rank);
        Guard { inner: self.inner.read(), _held: held }
    }

    /// Locks the table for writing.
    pub fn write(&self) -> Guard<RwLockWriteGuard<'_, T>> {
        let held = Held::take(self.rank);
        Guard { inner: self.inner.write(), _held: held }
    }
}

/// A locked table. Gives up its rank when dropped.
#[derive(Debug)]
pub struct Guard<G> {
    /// The lock's own guard; declared first so that it is released before the rank.
    inner: G,
    /// Marks the rank as held by this thread.
    _held: Held,
}

impl<G: Deref> Deref for Guard<G> {
    type Target = G::Target;

    fn deref(&self) -> &Self::Target {
        &self.inner
    }
}

impl<G: DerefMut> DerefMut for Guard<G> {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.inner
    }
}

#[cfg(debug_assertions)]
thread_local! {
    /// Ranks held by this thread, rising.
    static RANKS: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// A rank held by the current thread.
#[derive(Debug)]
struct Held {
    /// The rank; unused in release builds.
    #[cfg(debug_assertions)]
    rank: u8,
}

impl Held {
    /// Notes the rank as held.
    ///
    /// # Panics
    /// In debug builds, if the thread holds the same or a higher rank.
    fn take(rank: u8) -> Self {
        #[cfg(debug_assertions)]
        RANKS.with_borrow_mut(|ranks| {
            let top = ranks.last().copied();
            assert!(top < Some(rank), "lock of rank {rank} taken while holding {top:?}");
            ranks.push(rank);
        });
        #[cfg(not(debug_assertions))]
        let _ = rank;
        Self {
            #[cfg(debug_assertions)]
            rank,
        }
    }
}

#[cfg(debug_assertions)]
impl Drop for Held {
    fn drop(&mut self) {
        RANKS.with_borrow_mut(|ranks| ranks.retain(|held| *held != self.rank));
    }
}
