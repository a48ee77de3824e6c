//! The replicated state of a node: the highest version of each entry.

use std::sync::Arc;

use crate::id::{domain, node};
use crate::process::clock::Millis;
use crate::process::gossip::digest::{
    Audience, Digest, Scope, falls_in, fold, node_position,
};
use crate::process::gossip::entry::{
    Attachment, Condition, Document, Entry, Health, Key, Load, MAX_DOCUMENT_BYTES, Node,
    Role, Stage, short_id,
};
use crate::process::gossip::member::{Member, Status, TOMBSTONE_MS};
use crate::process::name::Name;

/// Nodes of a failure domain that fall silent within this time, in milliseconds, count as one
/// event.
///
/// One silence period, plus the time for records to spread and the orphan grace period.
const CORRELATED_MS: u64 = 10_000;

/// The highest version of each entry.
#[derive(Debug, Default)]
pub struct State {
    /// Sorted by key, without duplicates. Deletions stay as tombstones, so that a node that
    /// missed one cannot undo it.
    documents: Vec<Document>,
    /// Sorted by identifier, without duplicates.
    members: Vec<Member>,
    /// Failure domains that are treated as unreachable, sorted.
    unreachable: Vec<domain::Id>,
    /// Digest over documents, announcements, attachments and health records.
    digest: Digest,
    /// Whether the status of a member may change as time passes, without a new entry.
    review_pending: bool,
    /// Number of changes of announcements, attachments, health records and statuses.
    changes: u64,
}

impl State {
    /// Applies an entry unless the same or a higher version is known.
    pub fn apply(&mut self, now: Millis, entry: &Entry) -> Outcome {
        let outcome = match entry {
            Entry::Document(document) => self.apply_document(document),
            Entry::Node(node) => self.apply_node(node),
            Entry::Attachment(attachment) => self.apply_attachment(*attachment),
            Entry::Health(health) => self.apply_health(now, *health),
            Entry::Load(load) => self.apply_load(now, *load),
        };
        if outcome == Outcome::New
            && !matches!(entry, Entry::Document(_) | Entry::Load(_))
        {
            self.review_pending = true;
            self.changes += 1;
        }
        outcome
    }

    /// All documents including deletions, sorted by key.
    pub fn documents(&self) -> &[Document] {
        &self.documents
    }

    /// The revision of a document or its deletion; `None` if it is unknown.
    pub fn revision(&self, key: &Name) -> Option<u64> {
        self.find_document(key).ok().map(|index| self.documents[index].revision)
    }

    /// All members including removed ones, sorted by identifier.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Finds a member.
    pub fn member(&self, id: node::Id) -> Option<&Member> {
        self.find(id).ok().map(|index| &self.members[index])
    }

    /// Change counter; equal values mean that no announcement or status changed in between.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// The digest over all entries.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// The current version of an entry.
    pub fn get(&self, now: Millis, key: &Key) -> Option<Entry> {
        match key {
            Key::Document(name) => {
                let index = self.find_document(name).ok()?;
                Some(Entry::Document(self.documents[index].clone()))
            }
            Key::Node(id) => self.member(*id)?.node.clone().map(Entry::Node),
            Key::Attachment(id) => self.member(*id)?.attachment.map(Entry::Attachment),
            Key::Health(id) => self.member(*id)?.aged_health(now).map(Entry::Health),
            Key::Load(id) => self.member(*id)?.load.map(Entry::Load),
        }
    }

    /// Entries of the given buckets, each with its shortened fingerprint.
    pub fn entries_in(
        &self,
        now: Millis,
        scope: &Scope,
        buckets: &[u16],
        bucket_count: u16,
    ) -> Vec<(u32, Entry)> {
        let is_wanted = |position: u64| falls_in(position, buckets, bucket_count);
        let documents = self
            .documents
            .iter()
            .filter(|d| is_wanted(d.position()))
            .map(|d| (fold(d.fingerprint()), Entry::Document(d.clone())));
        let members = self.members.iter().filter(|m| is_wanted(node_position(m.id)));
        let members = members.flat_map(|member| {
            let node = member.node.as_ref();
            let node = node.map(|n| (fold(n.fingerprint()), Entry::Node(n.clone())));
            let health = member.aged_health(now);
            let health = health.map(|h| (fold(h.fingerprint()), Entry::Health(h)));
            let attachment = member.attachment;
            let attachment =
                attachment.map(|a| (fold(a.fingerprint()), Entry::Attachment(a)));
            // The health record goes first: it decides whether the others are accepted.
            health.into_iter().chain(node).chain(attachment)
        });
        let all = documents.chain(members);
        all.filter(|(_, entry)| entry.audience().is_some_and(|a| scope.covers(&a)))
            .collect()
    }

    /// Load reports of all members.
    pub fn loads(&self) -> impl Iterator<Item = Load> {
        self.members.iter().filter_map(|member| member.load)
    }

    /// Recomputes the status of all members; returns the members whose status changed.
    pub fn update_statuses(&mut self, now: Millis, me: node::Id) -> Vec<node::Id> {
        if !self.review_pending {
            return Vec::new();
        }
        self.update_unreachable(now);
        self.review_pending = !self.unreachable.is_empty();
        let mut changed = Vec::new();
        for member in &mut self.members {
            let Some(node) = member.node.as_ref().filter(|_| member.id != me) else {
                continue;
            };
            self.review_pending |=
                member.condition() != Condition::Alive || member.orphaned.is_some();
            let status = match member.is_silent(now) {
                false => Status::Alive,
                true if self.unreachable.binary_search(&node.domain).is_ok() => {
                    Status::Unreachable
                }
                true => Status::Silent,
            };
            if member.status != status {
                member.set_status(now, status);
                self.changes += 1;
                changed.push(member.id);
            }
        }
        changed
    }

    /// Marks the members whose monitors are all silent as orphaned.
    ///
    /// An unknown monitor counts as alive: its announcement may still be on its way.
    pub fn update_orphans(&mut self, now: Millis, me: node::Id) {
        let is_balancer = |member: &&Member| {
            let role = member.node.as_ref().map(|node| node.role);
            role.or(member.health.map(|health| health.role)) == Some(Role::Balancer)
        };
        let silent = self.members.iter().filter(is_balancer).filter(|m| m.is_silent(now));
        let mut silent: Vec<u32> = silent.map(|member| short_id(member.id)).collect();
        silent.sort_unstable();
        for member in &mut self.members {
            let lost = |monitor: &u32| silent.binary_search(monitor).is_ok();
            let all_lost = member.attachment.is_some_and(|attachment| {
                let mut monitors = attachment.monitors.iter().flatten().peekable();
                monitors.peek().is_some() && monitors.all(lost)
            });
            let orphaned = all_lost && member.id != me;
            self.review_pending |= orphaned != member.orphaned.is_some();
            member.orphaned = orphaned.then(|| member.orphaned.unwrap_or(now));
        }
    }

    /// Finds a monitor by its shortened identifier.
    pub fn find_monitor(&self, id: u32) -> Option<&Arc<Node>> {
        let nodes = self.members.iter().filter_map(|member| member.node.as_ref());
        let mut balancers = nodes.filter(|node| node.role == Role::Balancer);
        balancers.find(|node| short_id(node.id) == id)
    }

    /// Removes the entries of members that have been silent for too long, and forgets removals
    /// after [`TOMBSTONE_MS`]. Returns the members whose entries were removed.
    pub fn expire(&mut self, now: Millis, me: node::Id) -> Vec<node::Id> {
        let expired = self.members.iter().filter(|m| m.id != me && m.is_expired(now));
        let expired: Vec<Health> = expired.filter_map(tombstone).collect();
        for health in &expired {
            self.apply(now, &Entry::Health(*health));
        }
        let forgettable = self.members.iter().filter(|m| m.is_forgettable(now));
        let forgettable: Vec<node::Id> = forgettable.map(|member| member.id).collect();
        for id in forgettable {
            self.remove(id);
        }
        expired.iter().map(|health| health.node).collect()
    }

    /// Applies a document.
    fn apply_document(&mut self, document: &Document) -> Outcome {
        if document.value.as_ref().is_some_and(|value| value.len() > MAX_DOCUMENT_BYTES) {
            return Outcome::Rejected;
        }
        let found = self.find_document(&document.key);
        if let Ok(index) = found {
            let old = &self.documents[index];
            if document.revision <= old.revision {
                return Outcome::not_newer(document.revision == old.revision);
            }
            self.digest.remove(&old.audience(), old.position(), old.fingerprint());
            self.documents[index] = document.clone();
        } else if let Err(index) = found {
            self.documents.insert(index, document.clone());
        }
        self.digest.add(
            &document.audience(),
            document.position(),
            document.fingerprint(),
        );
        Outcome::New
    }

    /// Applies an announcement.
    fn apply_node(&mut self, node: &Arc<Node>) -> Outcome {
        let index = self.entry(node.id);
        let member = &self.members[index];
        if member.condition() == Condition::Dead {
            return Outcome::Rejected;
        }
        if let Some(old) = &member.node
            && node.version <= old.version
        {
            return Outcome::not_newer(node.version == old.version);
        }
        let entry = Entry::Node(self.share_names(node));
        self.drop_node(index);
        if let (Entry::Node(node), Some(audience)) = (&entry, entry.audience()) {
            self.digest.add(&audience, node_position(node.id), node.fingerprint());
            self.members[index].node = Some(node.clone());
        }
        Outcome::New
    }

    /// Applies an attachment.
    fn apply_attachment(&mut self, attachment: Attachment) -> Outcome {
        let index = self.entry(attachment.node);
        let member = &self.members[index];
        if member.condition() == Condition::Dead {
            return Outcome::Rejected;
        }
        if let Some(old) = member.attachment
            && attachment.version <= old.version
        {
            return Outcome::not_newer(attachment.version == old.version);
        }
        self.drop_attach(index);
        let (position, fingerprint) =
            (node_position(attachment.node), attachment.fingerprint());
        self.digest.add(&Audience::Balancers, position, fingerprint);
        self.members[index].attachment = Some(attachment);
        self.members[index].orphaned = None;
        Outcome::New
    }

    /// Applies a health record.
    fn apply_health(&mut self, now: Millis, health: Health) -> Outcome {
        if health.condition == Condition::Dead && health.age_ms >= TOMBSTONE_MS {
            return Outcome::Rejected;
        }
        let index = self.entry(health.node);
        let old = self.members[index].health;
        if let Some(old) = old
            && health.version() <= old.version()
        {
            return Outcome::not_newer(health.version() == old.version());
        }
        self.drop_health(index);
        if health.condition == Condition::Dead {
            self.drop_node(index);
            self.drop_attach(index);
            self.members[index].load = None;
        }
        self.members[index].set_health(now, health);
        if let Some(audience) = Entry::Health(health).audience() {
            self.digest.add(&audience, node_position(health.node), health.fingerprint());
        }
        Outcome::New
    }

    /// Applies a load report. Reports of nodes without an announcement are rejected.
    fn apply_load(&mut self, now: Millis, load: Load) -> Outcome {
        let Ok(index) = self.find(load.node) else { return Outcome::Rejected };
        let member = &mut self.members[index];
        if member.node.is_none() {
            return Outcome::Rejected;
        }
        if let Some(old) = member.load
            && load.version <= old.version
        {
            return Outcome::not_newer(load.version == old.version);
        }
        member.load = Some(load);
        member.load_at = now;
        Outcome::New
    }

    /// Recomputes which failure domains are unreachable.
    ///
    /// If more than half of a domain falls silent together, a network partition is more likely
    /// than as many failures. The domain stays unreachable until at most half are silent.
    fn update_unreachable(&mut self, now: Millis) {
        let mut counts: Vec<Count> = Vec::new();
        for member in &self.members {
            let Some(node) = &member.node else { continue };
            let found = counts.binary_search_by_key(&node.domain, |c| c.domain);
            let index = found.unwrap_or_else(|index| {
                counts.insert(index, Count::new(node.domain));
                index
            });
            let count = &mut counts[index];
            let silent = member.is_silent(now);
            count.all += 1;
            count.silent += usize::from(silent);
            // A leaving node is expected to fall silent.
            let silent_together = silent && node.stage != Stage::Leaving;
            count.silent_together += usize::from(
                silent_together && member.went_silent_within(now, CORRELATED_MS),
            );
        }
        let is_unreachable = |count: &Count| {
            let was_unreachable = self.unreachable.binary_search(&count.domain).is_ok();
            count.silent_together * 2 > count.all
                || (was_unreachable && count.silent * 2 > count.all)
        };
        self.unreachable =
            counts.iter().filter(|c| is_unreachable(c)).map(|c| c.domain).collect();
    }

    /// Copies an announcement so that its names share memory with equal names of other nodes.
    fn share_names(&self, node: &Arc<Node>) -> Arc<Node> {
        let others = self.members.iter().rev().filter_map(|m| m.node.as_ref());
        let mut node = node.clone();
        for other in others.take(16) {
            let copy = Arc::make_mut(&mut node);
            share(&mut copy.organisation, &other.organisation);
            share(&mut copy.set, &other.set);
        }
        node
    }

    /// Removes an announcement from the member and the digest.
    fn drop_node(&mut self, index: usize) {
        if let Some(node) = self.members[index].node.take() {
            let fingerprint = node.fingerprint();
            if let Some(audience) = Entry::Node(node.clone()).audience() {
                self.digest.remove(&audience, node_position(node.id), fingerprint);
            }
        }
    }

    /// Removes an attachment from the member and the digest.
    fn drop_attach(&mut self, index: usize) {
        if let Some(attachment) = self.members[index].attachment.take() {
            let (position, fingerprint) =
                (node_position(attachment.node), attachment.fingerprint());
            self.digest.remove(&Audience::Balancers, position, fingerprint);
        }
    }

    /// Removes a health record from the digest.
    fn drop_health(&mut self, index: usize) {
        if let Some(health) = self.members[index].health
            && let Some(audience) = Entry::Health(health).audience()
        {
            self.digest.remove(
                &audience,
                node_position(health.node),
                health.fingerprint(),
            );
        }
    }

    /// Removes a member with all its entries.
    fn remove(&mut self, id: node::Id) {
        if let Ok(index) = self.find(id) {
            self.drop_node(index);
            self.drop_attach(index);
            self.drop_health(index);
            self.members.remove(index);
        }
    }

    /// Position of a member; inserts it if it is unknown.
    fn entry(&mut self, id: node::Id) -> usize {
        self.find(id).unwrap_or_else(|index| {
            self.members.insert(index, Member::new(id));
            index
        })
    }

    /// Position of a member.
    fn find(&self, id: node::Id) -> Result<usize, usize> {
        self.members.binary_search_by_key(&id, |member| member.id)
    }

    /// Position of a document.
    fn find_document(&self, key: &Name) -> Result<usize, usize> {
        self.documents.binary_search_by(|document| document.key.cmp(key))
    }
}

/// Result of applying an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The entry is now the highest version.
    New,
    /// The same version was known already.
    Same,
    /// A higher version was known already.
    Stale,
    /// The entry was not accepted.
    Rejected,
}

impl Outcome {
    /// The outcome for a version that is not higher than the known one.
    fn not_newer(same: bool) -> Self {
        if same { Self::Same } else { Self::Stale }
    }
}

/// Number of members of a failure domain, by state.
#[derive(Debug, Clone, Copy)]
struct Count {
    /// The failure domain.
    domain: domain::Id,
    /// All members.
    all: usize,
    /// Silent members.
    silent: usize,
    /// Members that fell silent within [`CORRELATED_MS`] and were not leaving.
    silent_together: usize,
}

impl Count {
    /// Creates empty counts.
    fn new(domain: domain::Id) -> Self {
        Self { domain, all: 0, silent: 0, silent_together: 0 }
    }
}

/// The health record that marks a member as dead.
fn tombstone(member: &Member) -> Option<Health> {
    let node = member.node.as_ref()?;
    let (role, sequence) = (node.role, member.sequence());
    Some(Health {
        node: member.id,
        role,
        sequence,
        condition: Condition::Dead,
        age_ms: 0,
    })
}

/// Makes equal names share their memory.
fn share(name: &mut Name, with: &Name) {
    if *name == *with {
        *name = with.clone();
    }
}
