//! Everything that a node knows: the highest version of each entry.

use std::sync::Arc;

use crate::id::{domain, node};
use crate::process::clock::Millis;
use crate::process::name::Name;
use crate::process::spread::digest::{Area, Digest, Scope, falls, fold, node_place};
use crate::process::spread::entry::{
    Attach, Document, Entry, Key, Load, MAX_DOCUMENT, Node, Pulse, Role, Stage, Vital,
    short,
};
use crate::process::spread::member::{KEEP_MS, Member, Status};

/// Silences of a failure domain within this time, in milliseconds, count as one event.
///
/// One silence period plus the time that the news takes and the time until orphans count.
const TOGETHER_MS: u64 = 10_000;

/// The highest version of each entry.
#[derive(Debug, Default)]
pub struct State {
    /// Sorted by key, without duplicates. Deletions stay, so that they cannot be undone by a
    /// node that missed them.
    documents: Vec<Document>,
    /// Sorted by identifier, without duplicates.
    members: Vec<Member>,
    /// Failure domains that are treated as unreachable, sorted.
    unreachable: Vec<domain::Id>,
    /// Sums over documents, announcements, attachments and pulses.
    digest: Digest,
    /// Whether the status of a member may change before the next entry.
    unsettled: bool,
    /// Counts changes of announcements and statuses.
    changes: u64,
}

impl State {
    /// Takes in an entry unless a version as high is known.
    pub fn apply(&mut self, now: Millis, entry: &Entry) -> Outcome {
        let outcome = match entry {
            Entry::Document(document) => self.apply_document(document),
            Entry::Node(node) => self.apply_node(node),
            Entry::Attach(attach) => self.apply_attach(*attach),
            Entry::Pulse(pulse) => self.apply_pulse(now, *pulse),
            Entry::Load(load) => self.apply_load(now, *load),
        };
        if outcome == Outcome::New
            && !matches!(entry, Entry::Document(_) | Entry::Load(_))
        {
            self.unsettled = true;
            self.changes += 1;
        }
        outcome
    }

    /// The documents, sorted by key, with deletions.
    pub fn documents(&self) -> &[Document] {
        &self.documents
    }

    /// The revision of a document or its deletion; `None` if it is unknown.
    pub fn revision(&self, key: &Name) -> Option<u64> {
        self.find_document(key).ok().map(|index| self.documents[index].revision)
    }

    /// The members, sorted by identifier, with removed ones.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Finds a member.
    pub fn member(&self, id: node::Id) -> Option<&Member> {
        self.find(id).ok().map(|index| &self.members[index])
    }

    /// Counts changes of announcements and statuses; equal if neither changed.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// The sums over all entries.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// The present version of an entry.
    pub fn get(&self, now: Millis, key: &Key) -> Option<Entry> {
        match key {
            Key::Document(name) => {
                let index = self.find_document(name).ok()?;
                Some(Entry::Document(self.documents[index].clone()))
            }
            Key::Node(id) => self.member(*id)?.node.clone().map(Entry::Node),
            Key::Attach(id) => self.member(*id)?.attach.map(Entry::Attach),
            Key::Pulse(id) => self.member(*id)?.aged(now).map(Entry::Pulse),
            Key::Load(id) => self.member(*id)?.load.map(Entry::Load),
        }
    }

    /// Entries of parts of the digest, each with its shortened fingerprint.
    pub fn parts(
        &self,
        now: Millis,
        scope: &Scope,
        parts: &[u16],
        width: u16,
    ) -> Vec<(u32, Entry)> {
        let falls = |place: u64| falls(place, parts, width);
        let documents = self
            .documents
            .iter()
            .filter(|d| falls(d.place()))
            .map(|d| (fold(d.fingerprint()), Entry::Document(d.clone())));
        let members = self.members.iter().filter(|m| falls(node_place(m.id)));
        let members = members.flat_map(|member| {
            let node = member.node.as_ref();
            let node = node.map(|n| (fold(n.fingerprint()), Entry::Node(n.clone())));
            let pulse = member.aged(now);
            let pulse = pulse.map(|p| (fold(p.fingerprint()), Entry::Pulse(p)));
            let attach = member.attach;
            let attach = attach.map(|a| (fold(a.fingerprint()), Entry::Attach(a)));
            // The pulse goes first: it decides whether the others are accepted.
            pulse.into_iter().chain(node).chain(attach)
        });
        let all = documents.chain(members);
        all.filter(|(_, entry)| entry.area().is_some_and(|a| scope.covers(&a))).collect()
    }

    /// Load reports of all members.
    pub fn loads(&self) -> impl Iterator<Item = Load> {
        self.members.iter().filter_map(|member| member.load)
    }

    /// Brings the status of all members up to date; returns those that changed.
    pub fn review(&mut self, now: Millis, me: node::Id) -> Vec<node::Id> {
        if !self.unsettled {
            return Vec::new();
        }
        self.mark_domains(now);
        self.unsettled = !self.unreachable.is_empty();
        let mut changed = Vec::new();
        for member in &mut self.members {
            let Some(node) = member.node.as_ref().filter(|_| member.id != me) else {
                continue;
            };
            self.unsettled |= member.vital() != Vital::Alive || member.orphan.is_some();
            let status = match member.is_silent(now) {
                false => Status::Alive,
                true if self.unreachable.binary_search(&node.domain).is_ok() => {
                    Status::Unreachable
                }
                true => Status::Silent,
            };
            if member.status != status {
                member.turn(now, status);
                self.changes += 1;
                changed.push(member.id);
            }
        }
        changed
    }

    /// Notes which members attach to silent balancers only.
    ///
    /// A balancer that is unknown here counts as alive: its announcement may be on its way.
    pub fn note_orphans(&mut self, now: Millis, me: node::Id) {
        let is_balancer = |member: &&Member| {
            let role = member.node.as_ref().map(|node| node.role);
            role.or(member.pulse.map(|pulse| pulse.role)) == Some(Role::Balancer)
        };
        let silent = self.members.iter().filter(is_balancer).filter(|m| m.is_silent(now));
        let mut silent: Vec<u32> = silent.map(|member| short(member.id)).collect();
        silent.sort_unstable();
        for member in &mut self.members {
            let lost = |monitor: &u32| silent.binary_search(monitor).is_ok();
            let all_lost = member.attach.is_some_and(|attach| {
                let mut monitors = attach.monitors.iter().flatten().peekable();
                monitors.peek().is_some() && monitors.all(lost)
            });
            let orphan = all_lost && member.id != me;
            self.unsettled |= orphan != member.orphan.is_some();
            member.orphan = orphan.then(|| member.orphan.unwrap_or(now));
        }
    }

    /// Finds a balancer by its shortened identifier.
    pub fn monitor(&self, id: u32) -> Option<&Arc<Node>> {
        let nodes = self.members.iter().filter_map(|member| member.node.as_ref());
        let mut balancers = nodes.filter(|node| node.role == Role::Balancer);
        balancers.find(|node| short(node.id) == id)
    }

    /// Removes the entries of members that have been silent for long.
    pub fn expire(&mut self, now: Millis, me: node::Id) -> Vec<node::Id> {
        let over = self.members.iter().filter(|m| m.id != me && m.is_over(now));
        let over: Vec<Pulse> = over.filter_map(dead).collect();
        for pulse in &over {
            self.apply(now, &Entry::Pulse(*pulse));
        }
        let forgotten = self.members.iter().filter(|m| m.is_forgotten(now));
        let forgotten: Vec<node::Id> = forgotten.map(|member| member.id).collect();
        for id in forgotten {
            self.forget(id);
        }
        over.iter().map(|pulse| pulse.node).collect()
    }

    /// Takes in a document.
    fn apply_document(&mut self, document: &Document) -> Outcome {
        if document.value.as_ref().is_some_and(|value| value.len() > MAX_DOCUMENT) {
            return Outcome::Refused;
        }
        let found = self.find_document(&document.key);
        if let Ok(index) = found {
            let old = &self.documents[index];
            if document.revision <= old.revision {
                return Outcome::stale(document.revision == old.revision);
            }
            self.digest.remove(&old.area(), old.place(), old.fingerprint());
            self.documents[index] = document.clone();
        } else if let Err(index) = found {
            self.documents.insert(index, document.clone());
        }
        self.digest.add(&document.area(), document.place(), document.fingerprint());
        Outcome::New
    }

    /// Takes in an announcement.
    fn apply_node(&mut self, node: &Arc<Node>) -> Outcome {
        let index = self.entry(node.id);
        let member = &self.members[index];
        if member.vital() == Vital::Dead {
            return Outcome::Refused;
        }
        if let Some(old) = &member.node
            && node.counter <= old.counter
        {
            return Outcome::stale(node.counter == old.counter);
        }
        let entry = Entry::Node(self.share(node));
        self.drop_node(index);
        if let (Entry::Node(node), Some(area)) = (&entry, entry.area()) {
            self.digest.add(&area, node_place(node.id), node.fingerprint());
            self.members[index].node = Some(node.clone());
        }
        Outcome::New
    }

    /// Takes in an attachment.
    fn apply_attach(&mut self, attach: Attach) -> Outcome {
        let index = self.entry(attach.node);
        let member = &self.members[index];
        if member.vital() == Vital::Dead {
            return Outcome::Refused;
        }
        if let Some(old) = member.attach
            && attach.counter <= old.counter
        {
            return Outcome::stale(attach.counter == old.counter);
        }
        self.drop_attach(index);
        let (place, fingerprint) = (node_place(attach.node), attach.fingerprint());
        self.digest.add(&Area::Balancers, place, fingerprint);
        self.members[index].attach = Some(attach);
        self.members[index].orphan = None;
        Outcome::New
    }

    /// Takes in a pulse.
    fn apply_pulse(&mut self, now: Millis, pulse: Pulse) -> Outcome {
        if pulse.vital == Vital::Dead && pulse.age_ms >= KEEP_MS {
            return Outcome::Refused;
        }
        let index = self.entry(pulse.node);
        let old = self.members[index].pulse;
        if let Some(old) = old
            && pulse.version() <= old.version()
        {
            return Outcome::stale(pulse.version() == old.version());
        }
        self.drop_pulse(index);
        if pulse.vital == Vital::Dead {
            self.drop_node(index);
            self.drop_attach(index);
            self.members[index].load = None;
        }
        self.members[index].pulse(now, pulse);
        if let Some(area) = Entry::Pulse(pulse).area() {
            self.digest.add(&area, node_place(pulse.node), pulse.fingerprint());
        }
        Outcome::New
    }

    /// Takes in a load report. A report of an unknown node is of no use.
    fn apply_load(&mut self, now: Millis, load: Load) -> Outcome {
        let Ok(index) = self.find(load.node) else { return Outcome::Refused };
        let member = &mut self.members[index];
        if member.node.is_none() {
            return Outcome::Refused;
        }
        if let Some(old) = member.load
            && load.counter <= old.counter
        {
            return Outcome::stale(load.counter == old.counter);
        }
        member.load = Some(load);
        member.load_at = now;
        Outcome::New
    }

    /// Decides which failure domains are unreachable.
    ///
    /// More than half of a domain falling silent together is more likely a cut than as many
    /// deaths. The mark stays until at most half are silent.
    fn mark_domains(&mut self, now: Millis) {
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
            // A node that announced that it leaves is expected to fall silent.
            let fell = silent && node.stage != Stage::Leaving;
            count.fell += usize::from(fell && member.fell_within(now, TOGETHER_MS));
        }
        let marked = |count: &Count| {
            let was = self.unreachable.binary_search(&count.domain).is_ok();
            count.fell * 2 > count.all || (was && count.silent * 2 > count.all)
        };
        self.unreachable =
            counts.iter().filter(|c| marked(c)).map(|c| c.domain).collect();
    }

    /// The announcement with names shared with those of other nodes.
    fn share(&self, node: &Arc<Node>) -> Arc<Node> {
        let others = self.members.iter().rev().filter_map(|m| m.node.as_ref());
        let mut node = node.clone();
        for other in others.take(16) {
            let copy = Arc::make_mut(&mut node);
            share(&mut copy.organisation, &other.organisation);
            share(&mut copy.set, &other.set);
        }
        node
    }

    /// Drops an announcement.
    fn drop_node(&mut self, index: usize) {
        if let Some(node) = self.members[index].node.take() {
            let fingerprint = node.fingerprint();
            if let Some(area) = Entry::Node(node.clone()).area() {
                self.digest.remove(&area, node_place(node.id), fingerprint);
            }
        }
    }

    /// Drops an attachment.
    fn drop_attach(&mut self, index: usize) {
        if let Some(attach) = self.members[index].attach.take() {
            let (place, fingerprint) = (node_place(attach.node), attach.fingerprint());
            self.digest.remove(&Area::Balancers, place, fingerprint);
        }
    }

    /// Drops a pulse from the digest.
    fn drop_pulse(&mut self, index: usize) {
        if let Some(pulse) = self.members[index].pulse
            && let Some(area) = Entry::Pulse(pulse).area()
        {
            self.digest.remove(&area, node_place(pulse.node), pulse.fingerprint());
        }
    }

    /// Forgets a member.
    fn forget(&mut self, id: node::Id) {
        if let Ok(index) = self.find(id) {
            self.drop_node(index);
            self.drop_attach(index);
            self.drop_pulse(index);
            self.members.remove(index);
        }
    }

    /// Position of a member, which is created if it is unknown.
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

/// What became of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It is the highest version now.
    New,
    /// The same version was known.
    Same,
    /// A higher version was known.
    Old,
    /// It is not acceptable.
    Refused,
}

impl Outcome {
    /// The outcome for a version that is not higher.
    fn stale(same: bool) -> Self {
        if same { Self::Same } else { Self::Old }
    }
}

/// Members of a failure domain.
#[derive(Debug, Clone, Copy)]
struct Count {
    /// The failure domain.
    domain: domain::Id,
    /// All members.
    all: usize,
    /// Silent members.
    silent: usize,
    /// Members that fell silent together.
    fell: usize,
}

impl Count {
    /// Counts no members yet.
    fn new(domain: domain::Id) -> Self {
        Self { domain, all: 0, silent: 0, fell: 0 }
    }
}

/// The pulse that removes a member.
fn dead(member: &Member) -> Option<Pulse> {
    let node = member.node.as_ref()?;
    let (role, beat) = (node.role, member.beat());
    Some(Pulse { node: member.id, role, beat, vital: Vital::Dead, age_ms: 0 })
}

/// Makes equal names share their text.
fn share(name: &mut Name, with: &Name) {
    if *name == *with {
        *name = with.clone();
    }
}
