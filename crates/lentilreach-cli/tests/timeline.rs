//! Checks the output and the arguments of `lentilreach timeline`.

use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;

use lentilreach::id::node;
use lentilreach::process::admin::fetch::Timeline;
use lentilreach::process::admin::{Admin, Error, Server, Source, Status};
use lentilreach::process::clock::Stamp;
use lentilreach::process::event::{
    Close, Drain, Event, Evidence, Filter, Kind, Recorder, Role,
};
use lentilreach_cli::timeline::{Summary, command, lanes, run, text};
use metrics_exporter_prometheus::PrometheusBuilder;

/// Guards against lines that are out of order, not aligned or lack a field.
#[test]
fn text_shows_every_field_in_columns() {
    insta::assert_snapshot!(text::lines(&incident()));
}

/// Guards against a drawing that lacks a process or has an event in the lane of another
/// process.
#[test]
fn drawing_has_a_lane_per_process() {
    insta::assert_snapshot!(lanes::svg(&incident()));
}

/// Guards against labels that overlap when events are close together.
#[test]
fn drawing_leaves_out_labels_without_room() {
    let dense: Vec<Event> =
        (0..50).map(|count| event("b1", 1_000, count, Kind::StoreAway)).collect();

    let svg = lanes::svg(&dense);

    assert_eq!(svg.matches("store-away").count(), 4, "one label per row");
    let legend = 7;
    assert_eq!(svg.matches("<circle").count(), 50 + legend, "all marks and the legend");
}

/// Guards against a drawing that fails without events or with the longest time span.
#[test]
fn drawing_accepts_any_span() {
    let none = lanes::svg(&[]);
    let long =
        [event("b1", 0, 0, Kind::StoreAway), event("b1", u64::MAX, 0, Kind::StoreBack)];
    let long = lanes::svg(&long);

    assert!(none.contains("</svg>") && !none.contains("store-"));
    assert!(long.contains("store-away") && long.contains("store-back"));
}

/// Guards against losing the events of all processes because one is unreachable.
#[test]
fn unreachable_processes_are_listed() {
    let peers = ["10.0.0.1:9464".to_string(), "10.0.0.2:9464".to_string()];
    let events = vec![event("b1", 1_000, 0, Kind::StoreAway)];
    let answers = vec![
        Ok(Timeline { events, unknown_kinds: 1, overwritten: 30 }),
        Err(Error::Timeout { peer: peers[1].clone() }),
    ];

    let summary = Summary::new(&peers, answers, &Filter::default());

    insta::assert_snapshot!(summary.text(), @r"
    2023-11-14T22:13:21.000Z  b1  belper  store-away
    note: 10.0.0.1:9464 has overwritten older events: 30
    note: 10.0.0.1:9464 sent events of kinds that this version does not know: 1
    unreachable: 10.0.0.2:9464: no complete answer within 3 s
    ");
    let json = serde_json::to_value(summary.json()).expect("JSON");
    assert_eq!(json["unreachable"][0]["peer"], "10.0.0.2:9464");
    assert_eq!(json["events"][0]["kind"], "store-away");
}

/// Guards against inconsistent definitions of the arguments, and against accepting kinds that
/// do not exist.
#[test]
fn arguments_are_checked() {
    let parse = |line: &str| command().try_get_matches_from(line.split(' '));

    command().debug_assert();
    assert!(parse("timeline --admin a:1,b:2 --kind domain-out,flow-closed").is_ok());
    assert!(parse("timeline --kind sunrise").is_err());
    assert!(parse("timeline --revision latest").is_err());
    assert!(parse("timeline --follow --svg lanes.svg").is_err());
}

/// Guards against a command that queries only one process, or that fails because one of them
/// is unreachable.
#[test]
fn run_draws_the_events_of_reachable_processes() {
    let first = endpoint("b1");
    let second = endpoint("rope-1");
    let unreachable = unused_address();
    let directory = tempfile::tempdir().expect("a temporary directory");
    let file = directory.path().join("lanes.svg");
    let path = file.to_str().expect("a path in UTF-8");
    let peers = format!("{first},{second},{unreachable}");

    let line = ["timeline", "--admin", &peers, "--svg", path];
    let matches = command().get_matches_from(line);
    let status = run(&matches);

    assert_eq!(format!("{status:?}"), format!("{:?}", ExitCode::SUCCESS));
    let svg = std::fs::read_to_string(file).expect("the drawing was written");
    assert!(svg.contains("\nb1\n") && svg.contains("\nrope-1\n"), "{svg}");
}

/// Guards against success if no process answered, which looks like a fleet without events.
#[test]
fn run_fails_if_no_process_answers() {
    let line = format!("timeline --admin {}", unused_address());

    let status = run(&command().get_matches_from(line.split(' ')));

    assert_eq!(format!("{status:?}"), format!("{:?}", ExitCode::FAILURE));
}

/// Serves the admin endpoint of a process with one event until the test ends.
fn endpoint(process: &str) -> SocketAddr {
    let recorder = Recorder::new(process.into(), "belper".into());
    recorder.record(1_700_000_000_000, Kind::StoreAway);
    let metrics = PrometheusBuilder::new().build_recorder().handle();
    let server = smol::block_on(Server::bind(SocketAddr::from(([127, 0, 0, 1], 0))));
    let server = server.expect("a free port");
    let address = server.local_address();
    let admin = Admin::new(Unqueried, recorder, metrics);
    smol::spawn(server.serve(admin, std::future::pending())).detach();
    address
}

/// Returns a loopback address without a listener. Endpoints of tests use other addresses, so
/// none can take its port.
fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.44.1.1:0").expect("a free port");
    listener.local_addr().expect("the listener is bound")
}

/// A source that must not be queried.
struct Unqueried;

impl Source for Unqueried {
    fn ready(&self) -> Result<(), String> {
        unreachable!("the timeline does not query readiness")
    }

    fn status(&self) -> Status {
        unreachable!("the timeline does not query the status")
    }
}

/// Returns the events of an incident: a failure domain is taken out of service, then one of its
/// backend servers drains.
fn incident() -> Vec<Event> {
    let with_service = |mut event: Event| {
        event.service = Some("peakline/ropeledger".into());
        event
    };
    let with_revision = |mut event: Event, revision| {
        event.revision = Some(revision);
        event
    };
    let out = |process, at, count| {
        let kind = Kind::DomainOut { affected: "matlock".into() };
        with_revision(event(process, at, count, kind), 42)
    };
    let started = Kind::ProcessStarted { role: Role::Agent, node: node::Id(0xfeed) };
    let rope = |kind, at, count| with_service(event("rope-1", at, count, kind));
    let closed = Kind::FlowClosed { flow: 64, cause: Close::DomainOut };
    vec![
        event("rope-1", 1_000, 0, started),
        rope(Kind::BackendCold { evidence: Evidence::Start }, 1_000, 1),
        rope(Kind::FlowOpened { flow: 64 }, 1_730, 0),
        rope(Kind::BackendWarm, 9_000, 0),
        out("b1", 12_400, 0),
        out("b2", 12_400, 1),
        out("rope-1", 12_650, 0),
        rope(closed, 12_655, 0),
        rope(Kind::DrainStarted { cause: Drain::BackendServer }, 15_000, 0),
        with_service(event(
            "b1",
            15_050,
            0,
            Kind::MemberLeaving { member: "rope-1".into() },
        )),
    ]
}

/// Builds an event. Balancers, whose names start with `b`, are in another failure domain than
/// agents.
fn event(process: &str, after_ms: u64, count: u32, kind: Kind) -> Event {
    let domain = if process.starts_with('b') { "belper" } else { "matlock" };
    Event {
        stamp: Stamp { wall_ms: 1_700_000_000_000_u64.saturating_add(after_ms), count },
        process: process.into(),
        domain: domain.into(),
        service: None,
        revision: None,
        kind,
    }
}
