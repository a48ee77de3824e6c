//! Tests of what processes know of where routes led before: from configurations that they have
//! seen, from other nodes, and from the record in the store.

mod fixture;

use fixture::{CALENDAR, INVOICES, NOW, calendar, routing};
use lentilreach::process::clock::Millis;
use lentilreach::process::store::follow::Update;
use lentilreach::process::store::{Batch, Change, Entry, Range};
use lentilreach_steer::process::documents::leads::{KEY, Leads};
use lentilreach_steer::process::documents::{Config, Documents, Error, Kind, Source};
use lentilreach_steer::version::routing::Routing;

/// The life of a flow, in milliseconds.
const FLOW_MS: u64 = 60_000;

/// The time of day, in seconds since the Unix epoch.
const UNIX_S: u64 = 1_800_000_000;

/// Reads configurations whose value is the service that the address of the calendar service
/// leads to.
#[derive(Debug, Clone)]
struct Plain;

impl Source for Plain {
    fn prefix(&self) -> &'static str {
        "op/"
    }

    fn kind(&self, key: &str) -> Kind {
        if key == "op/config" { Kind::Config } else { Kind::Other }
    }

    fn config(&self, value: &[u8]) -> Result<Config, Error> {
        let mut routes = routing(1).routes;
        let service = std::str::from_utf8(value).expect("a name");
        routes[0].split[0].service = service.into();
        let Routing { services, idle_ms, .. } = routing(1);
        Ok(Config { version: 1, routes, services, idle_ms })
    }
}

/// The configuration whose calendar route leads to a service.
fn config(revision: u64, service: &str) -> Entry {
    Entry {
        key: "op/config".into(),
        value: service.as_bytes().to_vec().into(),
        created: 1,
        modified: revision,
    }
}

/// Documents that have been read from the store at a time.
fn documents(now: Millis, entries: Vec<Entry>) -> Documents<Plain> {
    let mut documents = Documents::new(Plain, FLOW_MS);
    let revision = entries.iter().map(|entry| entry.modified).max().unwrap_or_default();
    let errors = documents
        .apply(now, Update::Snapshot(Range { revision: revision.into(), entries }));
    assert_eq!(errors, []);
    documents
}

/// The documents after further configurations have arrived together.
fn changed(
    mut documents: Documents<Plain>,
    now: Millis,
    configs: &[Entry],
) -> Documents<Plain> {
    let revision = configs.last().expect("a configuration").modified;
    let changes = configs.iter().cloned().map(Change::Put).collect();
    let errors = documents
        .apply(now, Update::Changes(Batch { revision: revision.into(), changes }));
    assert_eq!(errors, []);
    documents
}

/// The record as an entry in the store.
fn record(leads: &Leads) -> Entry {
    let value = leads.value().expect("short enough").into();
    Entry { key: KEY.into(), value, created: 1, modified: 2 }
}

/// The services that the calendar route has led to, as far as documents tell.
fn earlier(documents: &Documents<Plain>) -> Vec<String> {
    let history = documents.routing().history.iter();
    let of_calendar = history.filter(|earlier| earlier.address == calendar());
    of_calendar.map(|earlier| earlier.service.to_string()).collect()
}

/// Flows that were opened before a route was moved, or with a configuration that was in force
/// for a moment only, were not searched for where they are.
#[test]
fn the_services_of_all_configurations_are_kept_in_mind() {
    let first = documents(NOW, vec![config(1, CALENDAR)]);

    let moved = changed(first, NOW, &[config(2, "moment"), config(3, INVOICES)]);
    let back = changed(moved, NOW.after(10), &[config(4, CALENDAR)]);

    assert_eq!(earlier(&back), [INVOICES, "moment"]);
}

/// What routes led to longer ago than a flow lives must not be searched.
#[test]
fn the_services_of_long_ago_are_forgotten() {
    let first = documents(NOW, vec![config(1, CALENDAR)]);
    let moved = changed(first, NOW, &[config(2, INVOICES)]);

    let recent = changed(moved, NOW.after(FLOW_MS), &[config(3, INVOICES)]);
    let before = earlier(&recent);
    let late = changed(recent, NOW.after(FLOW_MS + 1), &[config(4, INVOICES)]);

    assert_eq!(before, [CALENDAR]);
    assert_eq!(earlier(&late), [""; 0]);
}

/// A process that has started after a route was moved knows from the record where it led.
#[test]
fn a_new_process_learns_from_the_record() {
    let before = documents(NOW, vec![config(1, CALENDAR)]);
    let leads = Leads::default().update(before.routing(), UNIX_S);

    let started = documents(NOW, vec![record(&leads), config(2, INVOICES)]);

    assert_eq!(earlier(&started), [CALENDAR]);
}

/// A process that gets the documents from another node may have missed configurations which
/// that one has seen.
#[test]
fn a_process_learns_from_another_one() {
    let first = documents(NOW, vec![config(1, CALENDAR)]);
    let informed =
        changed(first, NOW, &[config(2, "moment"), config(3, INVOICES)]).snapshot(UNIX_S);
    let mut documents = documents(NOW, vec![config(1, CALENDAR)]);

    let errors = documents.apply(NOW, Update::Snapshot(informed));

    assert_eq!(errors, []);
    assert_eq!(earlier(&documents), [CALENDAR, "moment"]);
}

/// The record must name a service before its route is moved from it, since no process may be
/// running then. It must not grow for ever.
#[test]
fn the_record_names_present_and_recent_services() {
    let first = documents(NOW, vec![config(1, CALENDAR)]);
    let written = Leads::default().update(first.routing(), UNIX_S);
    let moved = changed(first, NOW, &[config(2, INVOICES)]);
    let named = |leads: &Leads| {
        let of_calendar = leads.iter().filter(|lead| lead.address == calendar());
        of_calendar.map(|lead| lead.service.to_string()).collect::<Vec<_>>()
    };

    let after_move = written.update(moved.routing(), UNIX_S);
    let started = documents(NOW, vec![config(2, INVOICES)]);
    let soon = after_move.update(started.routing(), UNIX_S + 300);
    let late = soon.update(started.routing(), UNIX_S + 600);

    assert!(written.covers(started.routing()) != after_move.covers(started.routing()));
    assert_eq!(named(&written), [CALENDAR]);
    assert_eq!(named(&after_move), [CALENDAR, INVOICES]);
    assert_eq!(named(&soon), [CALENDAR, INVOICES]);
    assert_eq!(named(&late), [INVOICES]);
}

/// Whatever stands under the key must not end the process, nor keep the documents from being
/// read.
#[test]
fn an_odd_record_is_left_out() {
    let leads = Leads::default().update(&routing(1), UNIX_S);
    let whole = record(&leads);
    assert_eq!(Leads::try_from(&whole), Ok(leads));
    for length in 0..whole.value.len() {
        let odd = Entry { value: whole.value.slice(..length), ..whole.clone() };
        let entries = vec![odd, config(2, INVOICES)];
        let mut documents = Documents::new(Plain, FLOW_MS);

        let errors =
            documents.apply(NOW, Update::Snapshot(Range { revision: 2.into(), entries }));

        assert_eq!(errors.len(), 1, "{length} bytes");
        assert_eq!(documents.routing().revision, 2.into());
    }
}
