//! Tests the registration of relays in the store, in virtual time: number of calls, expired
//! leases, lost responses.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use futures_lite::future::block_on;
use lentilreach::id::node;
use lentilreach::process::event::Kind;
use lentilreach::process::gossip::entry::{Document, Entry};
use lentilreach::process::relay::SLOTS;
use lentilreach::process::relay::core::{
    Call, Core, Event, Fleet, SCAN_INTERVAL_MS, TTL, slot_value,
};
use lentilreach::process::relay::update::StoreUpdate;
use lentilreach::process::store::follow::Update;
use lentilreach::process::store::{Error, Lease, Range, Step, Store as _};
use lentilreach::version::config::key;
use lentilreach_standin::store::{self, Memory, Outage};

/// Duration of a run in milliseconds.
const RUN_MS: u64 = 3_600_000;

/// Time after which registrations have settled, in milliseconds.
const SETTLED_MS: u64 = 60_000;

/// Simulates the balancers of a failure domain in virtual time.
struct Domain {
    /// The store, with a manual clock.
    store: Memory,
    /// The registration state of each balancer.
    cores: Vec<Core>,
    /// Scheduled events: time in milliseconds and balancer index.
    due: BinaryHeap<Reverse<(u64, usize)>>,
    /// Virtual time in milliseconds.
    now_ms: u64,
    /// The source of random numbers.
    rng: fastrand::Rng,
    /// All recorded events.
    recorded: Vec<Kind>,
}

impl Domain {
    /// Starts balancers at the same time.
    fn new(balancers: usize) -> Self {
        let core = |at| {
            let gossip_address = ([127, 0, 0, 1], 7_000 + at as u16).into();
            Core::new("nord".into(), slot_value(node::Id(at as u64), gossip_address))
        };
        Self {
            store: store::Builder::new().manual_clock().memory(),
            cores: (0..balancers).map(core).collect(),
            due: (0..balancers).map(|at| Reverse((0, at))).collect(),
            now_ms: 0,
            rng: fastrand::Rng::with_seed(7),
            recorded: Vec::new(),
        }
    }

    /// Runs until a point in virtual time.
    fn run_until(&mut self, end_ms: u64) {
        while let Some(Reverse((at_ms, index))) = self.due.pop() {
            if at_ms > end_ms {
                self.due.push(Reverse((at_ms, index)));
                break;
            }
            self.advance(at_ms);
            let wait_ms = self.step(index);
            self.due.push(Reverse((at_ms + wait_ms, index)));
        }
        self.advance(end_ms);
    }

    /// Runs a registration until it waits, and returns for how long in milliseconds.
    fn step(&mut self, index: usize) -> u64 {
        let fleet = Fleet { balancers: self.cores.len(), ready: true };
        let mut event = Event::Due;
        loop {
            let random = self.rng.u64(..);
            let core = &mut self.cores[index];
            match core.handle(event, fleet, random, &mut self.recorded) {
                Call::Wait(ms) => return ms,
                next => event = block_on(call(&self.store, next)),
            }
        }
    }

    /// Advances virtual time, including the store's.
    fn advance(&mut self, to_ms: u64) {
        self.store.handle().advance(to_ms - self.now_ms);
        self.now_ms = to_ms;
    }

    /// Runs for [`RUN_MS`] and returns the number of calls per second.
    fn calls_per_s(&mut self) -> f64 {
        let before = self.store.handle().counts().calls();
        let start_ms = self.now_ms;
        self.run_until(start_ms + RUN_MS);
        let calls = self.store.handle().counts().calls() - before;
        calls as f64 * 1_000.0 / RUN_MS as f64
    }

    /// Indices of the balancers that hold a slot.
    fn holders(&self) -> Vec<usize> {
        let all = 0..self.cores.len();
        all.filter(|at| self.cores[*at].slot().is_some()).collect()
    }
}

/// Makes a call to the store.
async fn call(store: &Memory, next: Call) -> Event {
    let result = match next {
        Call::Wait(_) => Ok(Event::Due),
        Call::ReadSlots => store.range(key::RELAYS).await.map(Event::SlotsRead),
        Call::CreateLease => store.grant(TTL).await.map(Event::Granted),
        Call::WriteSlot(txn) => store.write(txn).await.map(Event::Written),
        Call::KeepAlive(lease) => store.keep(lease).await.map(|_| Event::KeptAlive),
        Call::Revoke(lease) => store.revoke(lease).await.map(|()| Event::Revoked),
    };
    result.unwrap_or_else(Event::Failed)
}

/// Guards against calls to the store that grow with the number of balancers.
///
/// The bound follows from the design: two keep-alives every 3 s and at most two lookups every
/// 5 s.
#[test]
fn calls_do_not_grow_with_the_balancers() {
    let bound = f64::from(SLOTS) / 3.0 + 2.0 * 1_000.0 / SCAN_INTERVAL_MS as f64;
    for balancers in [3, 60] {
        let mut domain = Domain::new(balancers);
        domain.run_until(SETTLED_MS);

        let calls = domain.calls_per_s();

        println!("{balancers} balancers: {calls:.2} calls/s per failure domain");
        assert_eq!(domain.holders().len(), usize::from(SLOTS));
        assert!(calls <= bound, "{balancers} balancers: {calls} calls/s over {bound}");
    }
}

/// Guards against balancers that start at the same time and all compete for the same slots.
#[test]
fn simultaneous_start_takes_few_calls() {
    let mut domain = Domain::new(60);

    domain.run_until(5_000);

    let counts = domain.store.handle().counts();
    assert_eq!(domain.holders().len(), usize::from(SLOTS));
    assert!(counts.calls() <= 2 * 60, "{counts:?}");
}

/// Guards against a slot that stays vacant after its holder crashed.
#[test]
fn slot_of_a_dead_holder_is_taken_again() {
    let mut domain = Domain::new(20);
    domain.run_until(SETTLED_MS);
    let dead = domain.holders()[0];

    domain.due.retain(|Reverse((_, at))| *at != dead);
    domain.run_until(2 * SETTLED_MS);

    let alive = domain.holders().into_iter().filter(|at| *at != dead).count();
    assert_eq!(alive, usize::from(SLOTS));
}

/// Guards against a process that still considers itself the holder after a pause in which its
/// lease expired.
#[test]
fn process_paused_past_its_lease_loses_its_slot() {
    let mut domain = Domain::new(20);
    domain.run_until(SETTLED_MS);
    let paused = domain.holders()[0];
    domain.due.retain(|Reverse((_, at))| *at != paused);
    domain.run_until(2 * SETTLED_MS);

    domain.due.push(Reverse((domain.now_ms, paused)));
    domain.run_until(domain.now_ms + 1);

    assert_eq!(domain.cores[paused].slot(), None);
    assert!(domain.recorded.iter().any(|kind| matches!(kind, Kind::RelayLost { .. })));
}

/// Guards against an outage that is recorded for every failed call, and against a holder that
/// stops relaying because the store does not respond.
#[test]
fn outage_is_recorded_once() {
    let mut domain = Domain::new(1);
    domain.run_until(SETTLED_MS);
    domain.recorded.clear();

    domain.store.handle().start_outage(Outage::Refuse);
    domain.run_until(2 * SETTLED_MS);
    let during = domain.cores[0].slot();
    domain.store.handle().end_outage();
    domain.run_until(3 * SETTLED_MS);

    assert!(during.is_some(), "it keeps relaying");
    let slot = domain.cores[0].slot().expect("registered again");
    let lost = Kind::RelayLost { slot: during.unwrap_or_default() };
    let gained = Kind::RelayGained { slot };
    assert_eq!(domain.recorded, [Kind::StoreAway, Kind::StoreBack, lost, gained]);
}

/// Guards against a slot whose lease is not kept alive, and against a leaked lease, after the
/// response to a write was lost.
#[test]
fn write_with_lost_response_is_read_back() {
    let range = |value: &[u8]| {
        let entry = store_entry(&key::relay("nord", 0), value, 5);
        Range { revision: 5.into(), entries: vec![entry] }
    };
    let own = slot_value(node::Id(1), ([127, 0, 0, 1], 7_001).into());
    let other = slot_value(node::Id(2), ([127, 0, 0, 1], 7_002).into());
    let lost = Error::Unknown {
        step: Step::Write,
        peer: "store".into(),
        cause: "lost".to_owned(),
    };
    for (found, expected) in [(&own, Some(0)), (&other, None)] {
        let mut core = Core::new("nord".into(), own.clone());
        let mut handle_event = |event| {
            let fleet = Fleet { balancers: 2, ready: true };
            core.handle(event, fleet, 0, &mut Vec::new())
        };
        handle_event(Event::Due);
        handle_event(Event::Due);
        handle_event(Event::SlotsRead(Range::default()));
        handle_event(Event::Granted(Lease(9)));
        handle_event(Event::Failed(lost.clone()));
        assert_eq!(handle_event(Event::Due), Call::ReadSlots);

        let next = handle_event(Event::SlotsRead(range(found)));

        assert_eq!(core.slot(), expected);
        assert_eq!(matches!(next, Call::Revoke(Lease(9))), expected.is_none());
    }
}

/// Guards against documents that stay in force although they were deleted while there was no
/// watch, and against deleting documents that are newer than the snapshot.
#[test]
fn snapshot_reports_deleted_documents() {
    let document = |key: &str, revision| Document {
        key: key.into(),
        revision,
        value: Some("{}".into()),
    };
    let known = [
        document("lentilreach/service/weilheim/gone", 3),
        document("lentilreach/service/weilheim/kept", 4),
        document("lentilreach/service/weilheim/newer", 12),
    ];
    let kept = store_entry("lentilreach/service/weilheim/kept", b"{}", 4);
    let slot = store_entry("lentilreach/relay/nord/0", b"1 127.0.0.1:7001", 5);
    let range = Range { revision: 10.into(), entries: vec![slot, kept] };

    let update = StoreUpdate::read(&Update::Snapshot(range), &known);

    let entry = |at: usize, revision, value: Option<&'static str>| {
        Entry::document(known[at].key.clone(), revision, value.map(Into::into))
    };
    assert_eq!(update.documents, [entry(1, 4, Some("{}")), entry(0, 10, None)]);
    assert_eq!(update.peers, [([127, 0, 0, 1], 7_001).into()]);
    assert!(update.complete);
}

/// Creates a store entry.
fn store_entry(
    key: &str,
    value: &[u8],
    modified: u64,
) -> lentilreach::process::store::Entry {
    lentilreach::process::store::Entry {
        key: key.into(),
        value: value.to_vec().into(),
        created: modified,
        modified,
    }
}
