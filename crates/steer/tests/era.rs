//! Tests of what processes make of the operators' documents after the store has come back from
//! an older copy of itself.

mod fixture;

use fixture::{CALENDAR, INVOICES, NOW, calendar, routing};
use lentilreach::Name;
use lentilreach::process::clock::Millis;
use lentilreach::process::store::follow::Update;
use lentilreach::process::store::{Batch, Change, Entry, Range, Revision};
use lentilreach_steer::process::documents::{Config, Documents, Error, Kind, Source};
use lentilreach_steer::version::routing::Routing;

/// Time for which a failure domain stays out of service unless the store names it again, in
/// milliseconds.
const RETENTION_MS: u64 = 60_000;

/// Prefix of the keys that take a failure domain out of service.
const OUT: &str = "op/out/";

/// Reads configurations whose value is a version and the service that the address of the
/// calendar service leads to.
#[derive(Debug, Clone)]
struct Plain;

impl Source for Plain {
    fn prefix(&self) -> &'static str {
        "op/"
    }

    fn kind(&self, key: &str) -> Kind {
        match key.strip_prefix(OUT) {
            Some(domain) => Kind::DomainOut(domain.into()),
            None => Kind::Config,
        }
    }

    fn config(&self, value: &[u8]) -> Result<Config, Error> {
        let text = std::str::from_utf8(value).expect("a text");
        let (version, service) = text.split_once(' ').expect("two words");
        let Routing { mut routes, services, idle_ms, .. } = routing(1);
        routes[0].split[0].service = service.into();
        let version = version.parse().expect("a number");
        Ok(Config { version, routes, services, idle_ms })
    }
}

/// A document as it was written at a revision.
fn entry(key: &str, number: u64, value: &str) -> Entry {
    let value = value.as_bytes().to_vec().into();
    Entry { key: key.into(), value, created: number, modified: number }
}

/// A configuration whose calendar route leads to a service, as it was written at a revision.
fn config(number: u64, version: u64, service: &str) -> Entry {
    entry("op/config", number, &format!("{version} {service}"))
}

/// The document that takes a failure domain out of service.
fn out(number: u64, domain: &str) -> Entry {
    entry(&format!("{OUT}{domain}"), number, "")
}

/// What the store says at a revision.
fn snapshot(era: u64, number: u64, entries: &[Entry]) -> Update {
    let revision = Revision { era, number };
    Update::Snapshot(Range { revision, entries: entries.to_vec() })
}

/// A process that follows the store since its first era, up to revision 100.
fn follower(entries: &[Entry]) -> Documents<Plain> {
    let mut documents = Documents::new(Plain, RETENTION_MS);
    let errors = documents.apply(NOW, snapshot(1, 100, entries));
    assert_eq!(errors, []);
    documents
}

/// The version of the active configuration, and the service that the calendar route leads to.
fn active(documents: &Documents<Plain>) -> (u64, String) {
    let routing = documents.routing();
    let route = routing.route(calendar()).expect("a route");
    (routing.version, route.split[0].service.to_string())
}

/// The failure domains that are out of service.
fn domains_out(documents: &Documents<Plain>) -> Vec<&str> {
    documents.routing().domains_out.iter().map(|domain: &Name| &**domain).collect()
}

/// An evacuation that was written after the return was ignored, since revisions had gone back.
#[test]
fn a_change_after_the_return_is_noticed_at_a_lower_revision() {
    let mut documents = follower(&[config(99, 9, CALENDAR)]);

    documents.apply(NOW, snapshot(2, 50, &[config(50, 9, CALENDAR)]));
    let revision = Revision { era: 2, number: 51 };
    let changes = vec![Change::Put(out(51, "a")), Change::Put(config(51, 10, INVOICES))];
    documents.apply(NOW, Update::Changes(Batch { revision, changes }));

    assert_eq!(domains_out(&documents), ["a"]);
    assert_eq!(active(&documents), (10, INVOICES.into()));
    assert_eq!((documents.revision(), documents.last_change()), (revision, revision));
}

/// Between the return and the moment when the operators have written their documents again,
/// the store names an older configuration than a process has acted by.
#[test]
fn a_process_does_not_go_back_to_an_older_configuration() {
    let mut documents = follower(&[config(99, 9, INVOICES)]);

    let errors = documents.apply(NOW, snapshot(2, 50, &[config(40, 3, CALENDAR)]));
    let meanwhile = active(&documents);
    documents.apply(NOW, snapshot(2, 51, &[config(51, 9, INVOICES)]));
    let again = active(&documents);
    documents.apply(NOW, snapshot(2, 52, &[config(52, 14, CALENDAR)]));

    assert_eq!(errors.len(), 1);
    assert_eq!((meanwhile, again), ((9, INVOICES.into()), (9, INVOICES.into())));
    assert_eq!(active(&documents), (14, CALENDAR.into()));
}

/// A process that starts after the return knows no more than the store, and must take over
/// what is written there next.
#[test]
fn a_process_that_starts_after_the_return_begins_with_the_copy() {
    let mut documents = Documents::new(Plain, RETENTION_MS);
    documents.apply(NOW, snapshot(2, 50, &[config(40, 3, CALENDAR)]));

    // Documents of a peer that has not noticed the return.
    documents.apply(NOW, snapshot(1, 100, &[config(99, 9, INVOICES), out(98, "b")]));
    let meanwhile = active(&documents);
    documents.apply(NOW, snapshot(2, 51, &[config(51, 9, INVOICES)]));

    assert_eq!(meanwhile, (3, CALENDAR.into()));
    assert_eq!(active(&documents), (9, INVOICES.into()));
    assert_eq!(domains_out(&documents), [""; 0]);
}

/// Changes of an earlier era, which were on their way during the return, don't follow on what
/// the store says now.
#[test]
fn changes_of_an_earlier_era_are_ignored() {
    let mut documents = follower(&[config(99, 9, CALENDAR)]);
    documents.apply(NOW, snapshot(2, 50, &[config(50, 9, CALENDAR)]));

    let changes = vec![Change::Put(out(101, "a"))];
    let revision = Revision { era: 1, number: 101 };
    documents.apply(NOW, Update::Changes(Batch { revision, changes }));

    assert_eq!(domains_out(&documents), [""; 0]);
    assert_eq!(documents.revision(), Revision { era: 2, number: 50 });
}

/// An evacuation that is lost with the copy holds until it is written again or a time has
/// passed, and ends like any other once it is taken back.
#[test]
fn a_lost_evacuation_holds_for_a_limited_time() {
    let all = [config(99, 9, CALENDAR), out(98, "a"), out(97, "b")];
    let copy = [config(50, 9, CALENDAR), out(40, "b")];
    let mut documents = follower(&all);

    documents.apply(NOW, snapshot(2, 50, &copy));
    let after_return = domains_out(&documents).join(" ");
    documents.apply(NOW.after(RETENTION_MS), snapshot(2, 51, &copy));
    let in_time = domains_out(&documents).join(" ");
    let is_due = |ms| documents.is_expiry_due(NOW.after(ms));
    assert!(!is_due(RETENTION_MS) && is_due(RETENTION_MS + 1));
    documents.expire(NOW.after(RETENTION_MS + 1));

    assert_eq!((&*after_return, &*in_time), ("a b", "a b"));
    assert_eq!(domains_out(&documents), ["b"]);
}

/// An evacuation that was written again must not outlive its document.
#[test]
fn an_evacuation_that_was_written_again_ends_with_its_document() {
    let mut documents = follower(&[config(99, 9, CALENDAR), out(98, "a")]);
    documents.apply(NOW, snapshot(2, 50, &[config(50, 9, CALENDAR)]));

    documents.apply(NOW, snapshot(2, 51, &[config(50, 9, CALENDAR), out(51, "a")]));
    let written_again = domains_out(&documents).join(" ");
    documents.apply(NOW, snapshot(2, 52, &[config(50, 9, CALENDAR)]));

    assert_eq!(written_again, "a");
    assert_eq!(domains_out(&documents), [""; 0]);
}

/// One that was taken back in the lost seconds is in the copy again until it is removed.
#[test]
fn an_evacuation_that_comes_back_with_the_copy_holds_until_it_is_removed() {
    let mut documents = follower(&[config(99, 9, CALENDAR)]);

    let copy = [config(50, 9, CALENDAR), out(40, "a")];
    documents.apply(NOW, snapshot(2, 50, &copy));
    let back = domains_out(&documents).join(" ");
    let delete = Change::Delete { key: format!("{OUT}a").as_str().into(), revision: 51 };
    let revision = Revision { era: 2, number: 51 };
    documents.apply(NOW, Update::Changes(Batch { revision, changes: vec![delete] }));

    assert_eq!(back, "a");
    assert_eq!(domains_out(&documents), [""; 0]);
}

/// The second return may come before the operators have written anything again.
#[test]
fn two_returns_in_a_row_lose_nothing_that_is_in_force() {
    let mut documents = follower(&[config(99, 9, INVOICES), out(98, "a")]);

    documents.apply(NOW, snapshot(2, 50, &[config(40, 3, CALENDAR)]));
    documents.apply(NOW.after(10), snapshot(3, 45, &[config(40, 3, CALENDAR)]));
    let (config_then, out_then) = (active(&documents), domains_out(&documents).join(" "));
    documents.apply(NOW.after(20), snapshot(3, 46, &[config(46, 10, CALENDAR)]));

    assert_eq!((config_then, &*out_then), ((9, INVOICES.into()), "a"));
    assert_eq!(active(&documents), (10, CALENDAR.into()));
}

/// Other nodes learn of the return by the revision in heartbeats, even if the copy holds no
/// document.
#[test]
fn an_empty_copy_is_a_change() {
    let mut documents = follower(&[config(99, 9, CALENDAR)]);
    let before = documents.last_change();

    documents.apply(Millis(NOW.0 + 1), snapshot(2, 50, &[]));

    assert!(documents.last_change() > before);
    assert_eq!(active(&documents), (9, CALENDAR.into()));
}
