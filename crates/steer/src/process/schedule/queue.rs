//! Jobs that wait for a backend server, in the order in which it gets them.

use std::cmp::Reverse;

use lentilreach::process::clock::Millis;

use crate::connection::flow;

/// Something that a backend server could be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Job {
    /// The flow that it belongs to.
    pub flow: flow::Key,
    /// Whether it opens the flow or is a request on it.
    pub kind: Kind,
    /// Priority of its route; 0 is the highest.
    pub priority: u8,
    /// When the caller sent it, at the latest.
    pub sent_at: Millis,
    /// When its answer is due according to the route's objective.
    pub due_at: Millis,
    /// Time until which it may be delivered. Its caller gives up shortly after.
    pub give_up_at: Millis,
}

/// What a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// An opening segment. Its request follows when the backend server has accepted the
    /// flow.
    Opening,
    /// A request on an open flow. It can't be refused or given to another backend server.
    Request,
}

/// The order in which waiting jobs are served while they are in time, the first one greatest:
/// by priority, then by the level of their caller, see
/// [`Shares`](super::fairness::Shares), then the latest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Priority of the job.
    priority: Reverse<u8>,
    /// Level of its caller.
    level: Reverse<u8>,
    /// When its answer is due.
    due_at: Millis,
    /// Its index in [`Queue::entries`], which makes the rank unique.
    index: u32,
}

impl Rank {
    /// Jobs of the same group differ in time only.
    fn group(&self) -> (Reverse<u8>, Reverse<u8>) {
        (self.priority, self.level)
    }
}

/// A waiting job with its value.
#[derive(Debug, Clone)]
struct Entry<T> {
    /// The job.
    job: Job,
    /// Its rank in [`Queue::by_rank`].
    rank: Rank,
    /// Its value.
    value: T,
}

/// Waiting jobs, at most one of each flow, each with a value `T`.
///
/// A decision costs a few binary searches, whatever the number of jobs: the order of
/// service, the age and the flow each have a sorted vector of small entries.
#[derive(Debug, Clone)]
pub struct Queue<T> {
    /// The jobs. Indices are reused, so that the vectors below can refer to them.
    entries: Vec<Option<Entry<T>>>,
    /// Unused indices of `entries`.
    free: Vec<u32>,
    /// Sorted, so that the first to be served is the last element. Has one element for each
    /// job, like the following two.
    by_rank: Vec<Rank>,
    /// Sorted by the time at which the job was sent.
    by_age: Vec<(Millis, u32)>,
    /// Sorted by the hash of the flow.
    by_flow: Vec<(u32, u32)>,
    /// Number of jobs that are openings.
    openings: usize,
    /// No job expires before this time.
    expires_from: Millis,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            free: Vec::new(),
            by_rank: Vec::new(),
            by_age: Vec::new(),
            by_flow: Vec::new(),
            openings: 0,
            expires_from: Millis(u64::MAX),
        }
    }
}

impl<T> Queue<T> {
    /// Number of waiting jobs.
    pub fn len(&self) -> usize {
        self.by_rank.len()
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.by_rank.is_empty()
    }

    /// Number of waiting openings.
    pub fn openings(&self) -> usize {
        self.openings
    }

    /// The value of the waiting job of a flow.
    pub fn get_mut(&mut self, flow: &flow::Key) -> Option<&mut T> {
        let index = self.find(flow)?;
        self.entries[index as usize].as_mut().map(|entry| &mut entry.value)
    }

    /// The waiting job of a flow.
    pub fn get(&self, flow: &flow::Key) -> Option<&Job> {
        self.find(flow).map(|index| self.job(index))
    }

    /// Adds a job whose caller has a level, unless another job of its flow waits.
    pub fn insert(&mut self, job: Job, level: u8, value: T) {
        if self.find(&job.flow).is_some() {
            return;
        }
        let index = self.free.pop().unwrap_or_else(|| {
            self.entries.push(None);
            self.entries.len() as u32 - 1
        });
        let (priority, level) = (Reverse(job.priority), Reverse(level));
        let rank = Rank { priority, level, due_at: job.due_at, index };
        let rank_index = self.by_rank.partition_point(|other| *other < rank);
        self.by_rank.insert(rank_index, rank);
        let age = (job.sent_at, index);
        let age_index = self.by_age.partition_point(|other| *other < age);
        self.by_age.insert(age_index, age);
        let key = (hash(&job.flow), index);
        let flow_index = self.by_flow.partition_point(|other| *other < key);
        self.by_flow.insert(flow_index, key);
        self.openings += usize::from(job.kind == Kind::Opening);
        self.expires_from = self.expires_from.min(job.give_up_at.after(1));
        self.entries[index as usize] = Some(Entry { job, rank, value });
    }

    /// Removes the job of a flow.
    pub fn remove(&mut self, flow: &flow::Key) -> Option<(Job, T)> {
        self.take(self.find(flow)?)
    }

    /// Finds the first job in the order of service that is due at `earliest_due` or later.
    /// Leaves out openings if `kind` is [`Kind::Request`].
    pub fn first_due(&self, earliest_due: Millis, kind: Option<Kind>) -> Option<&Job> {
        let mut end = self.by_rank.len();
        while let Some(first) = self.by_rank[..end].last() {
            let start = self.start_of_group(end, first);
            let group = self.by_rank[start..end].iter().rev();
            let due = group.take_while(|rank| rank.due_at >= earliest_due);
            let mut jobs = due.map(|rank| self.job(rank.index));
            if let Some(job) = jobs.find(|job| kind.is_none_or(|kind| job.kind == kind)) {
                return Some(job);
            }
            end = start;
        }
        None
    }

    /// The job that was sent last. Leaves out openings if `kind` is [`Kind::Request`].
    pub fn latest(&self, kind: Option<Kind>) -> Option<&Job> {
        let mut jobs = self.by_age.iter().rev().map(|(_, index)| self.job(*index));
        jobs.find(|job| kind.is_none_or(|kind| job.kind == kind))
    }

    /// The job of the lowest priority that is served first among its like.
    pub fn least_urgent(&self) -> Option<&Job> {
        let lowest = self.by_rank.first()?.priority;
        let end = self.by_rank.partition_point(|rank| rank.priority <= lowest);
        self.by_rank[..end].last().map(|rank| self.job(rank.index))
    }

    /// Counts the jobs of a priority or a higher one that are due at `earliest_due` or
    /// later.
    pub fn count_due(&self, priority: u8, earliest_due: Millis) -> usize {
        let mut count = 0;
        let mut end = self.by_rank.len();
        while let Some(first) = self.by_rank[..end].last() {
            if first.priority.0 > priority {
                break;
            }
            let start = self.start_of_group(end, first);
            let group = &self.by_rank[start..end];
            count += group.len() - group.partition_point(|r| r.due_at < earliest_due);
            end = start;
        }
        count
    }

    /// Number of jobs that wait with a priority or a higher one.
    pub fn count(&self, priority: u8) -> usize {
        self.by_rank.len() - self.by_rank.partition_point(|r| r.priority.0 > priority)
    }

    /// Number of waiting jobs by priority, the highest first.
    pub fn counts(&self) -> impl Iterator<Item = (u8, u32)> {
        self.priority_groups().map(|(priority, group)| (priority, group.len() as u32))
    }

    /// The priorities of waiting jobs, the highest first, each with the time at which its
    /// oldest job was sent.
    pub fn priorities(&self) -> impl Iterator<Item = (u8, Millis)> {
        self.priority_groups().filter_map(|(priority, group)| {
            let oldest = group.iter().map(|rank| self.job(rank.index).sent_at).min()?;
            Some((priority, oldest))
        })
    }

    /// The jobs of each priority, the highest first.
    fn priority_groups(&self) -> impl Iterator<Item = (u8, &[Rank])> {
        let mut end = self.by_rank.len();
        std::iter::from_fn(move || {
            let priority = self.by_rank[..end].last()?.priority;
            let start = self.by_rank.partition_point(|rank| rank.priority < priority);
            let group = &self.by_rank[start..end];
            end = start;
            Some((priority.0, group))
        })
    }

    /// Removes and returns a job that may not be delivered any more.
    pub fn next_expired(&mut self, now: Millis) -> Option<(Job, T)> {
        if now < self.expires_from {
            return None;
        }
        let expired = self.jobs().find(|job| now > job.give_up_at).map(|job| job.flow);
        if expired.is_none() {
            let first = self.jobs().map(|job| job.give_up_at.after(1)).min();
            self.expires_from = first.unwrap_or(Millis(u64::MAX));
        }
        self.remove(&expired?)
    }

    /// When the first waiting job expires.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.jobs().map(|job| job.give_up_at.after(1)).min()
    }

    /// Removes and returns some job of a kind.
    pub fn pop(&mut self, kind: Kind) -> Option<(Job, T)> {
        let flow = self.jobs().find(|job| job.kind == kind)?.flow;
        self.remove(&flow)
    }

    /// The waiting jobs, in the order of service.
    fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.by_rank.iter().rev().map(|rank| self.job(rank.index))
    }

    /// The start of the group of the last job before `end`.
    fn start_of_group(&self, end: usize, last: &Rank) -> usize {
        self.by_rank[..end].partition_point(|rank| rank.group() < last.group())
    }

    /// The job with an index that one of the sorted vectors refers to.
    fn job(&self, index: u32) -> &Job {
        let entry = self.entries[index as usize].as_ref();
        &entry.expect("sorted vectors only refer to jobs that wait").job
    }

    /// Removes and returns the job with an index.
    fn take(&mut self, index: u32) -> Option<(Job, T)> {
        let Entry { job, rank, value } = self.entries[index as usize].take()?;
        self.free.push(index);
        if let Ok(found) = self.by_rank.binary_search(&rank) {
            self.by_rank.remove(found);
        }
        if let Ok(found) = self.by_age.binary_search(&(job.sent_at, index)) {
            self.by_age.remove(found);
        }
        if let Ok(found) = self.by_flow.binary_search(&(hash(&job.flow), index)) {
            self.by_flow.remove(found);
        }
        self.openings -= usize::from(job.kind == Kind::Opening);
        if self.by_rank.is_empty() {
            self.expires_from = Millis(u64::MAX);
        }
        Some((job, value))
    }

    /// The index of the job of a flow in `entries`.
    fn find(&self, flow: &flow::Key) -> Option<u32> {
        let hash = hash(flow);
        let start = self.by_flow.partition_point(|(known, _)| *known < hash);
        let same = self.by_flow[start..].iter().take_while(|(known, _)| *known == hash);
        same.map(|(_, index)| *index).find(|index| self.job(*index).flow == *flow)
    }
}

/// A hash of a flow. Flows may share one.
fn hash(flow: &flow::Key) -> u32 {
    flow.hash() as u32
}
