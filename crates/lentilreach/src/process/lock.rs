//! Locks with a rank, so that every use is checked against the lock order.

#[cfg(debug_assertions)]
use std::cell::RefCell;
use std::ops::{Deref, DerefMut};

use parking_lot::{RwLock, RwLockReadGuard, RwLockWriteGuard};

/// A value shared by threads, behind a read-write lock with a rank.
///
/// A thread may acquire a lock only if its rank is higher than the ranks of all locks
/// that the thread holds. Debug builds assert this. No guard may be held across an await.
#[derive(Debug)]
pub struct Ranked<T> {
    /// Position in the lock order, see [`crate::process::tables`].
    rank: u8,
    /// The value and its lock.
    inner: RwLock<T>,
}

impl<T> Ranked<T> {
    /// Creates a lock of the given rank around a value.
    pub fn new(rank: u8, value: T) -> Self {
        Self { rank, inner: RwLock::new(value) }
    }

    /// Locks the value for reading.
    pub fn read(&self) -> Guard<RwLockReadGuard<'_, T>> {
        let held = HeldRank::acquire(self.rank);
        Guard { inner: self.inner.read(), _held: held }
    }

    /// Locks the value for writing.
    pub fn write(&self) -> Guard<RwLockWriteGuard<'_, T>> {
        let held = HeldRank::acquire(self.rank);
        Guard { inner: self.inner.write(), _held: held }
    }
}

/// Access to a locked value. Releases the lock and its rank when dropped.
#[derive(Debug)]
pub struct Guard<G> {
    /// The guard of the underlying lock; declared first, so that it is dropped before the
    /// rank.
    inner: G,
    /// Registers the rank as held by this thread.
    _held: HeldRank,
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
    /// Ranks held by this thread, in increasing order.
    static HELD_RANKS: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// A rank that the current thread holds until this is dropped.
#[derive(Debug)]
struct HeldRank {
    /// The rank; unused in release builds.
    #[cfg(debug_assertions)]
    rank: u8,
}

impl HeldRank {
    /// Registers the rank as held.
    ///
    /// # Panics
    /// In debug builds, if the thread holds the same or a higher rank.
    fn acquire(rank: u8) -> Self {
        #[cfg(debug_assertions)]
        HELD_RANKS.with_borrow_mut(|ranks| {
            let highest = ranks.last().copied();
            assert!(
                highest < Some(rank),
                "lock of rank {rank} taken while holding {highest:?}"
            );
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
impl Drop for HeldRank {
    fn drop(&mut self) {
        HELD_RANKS.with_borrow_mut(|ranks| ranks.retain(|held| *held != self.rank));
    }
}
