//! The timeline as operators see it.

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

/// Guards against a timeline whose lines are out of order, out of line or lack a field.
#[test]
fn text_shows_every_field_in_columns() {
    insta::assert_snapshot!(text::lines(&incident()));
}

/// Guards against a drawing without one of the processes, or with an event in another
/// process's lane.
#[test]
fn drawing_has_a_lane_per_process() {
    insta::assert_snapshot!(lanes::svg(&incident()));
}

/// Guards against labels that cover each other when events are close together.
#[test]
fn drawing_leaves_out_labels_without_room() {
    let crowd: Vec<Event> =
        (0..50).map(|count| event("b1", 1_000, count, Kind::StoreAway)).collect();

    let svg = lanes::svg(&crowd);

    assert_eq!(svg.matches("store-away").count(), 4, "one label per row");
    let legend = 7;
    assert_eq!(svg.matches("<circle").count(), 50 + legend, "but all marks");
}

/// Guards against a drawing that fails on no events or on the longest span of time.
#[test]
fn drawing_takes_any_span() {
    let none = lanes::svg(&[]);
    let long =
        [event("b1", 0, 0, Kind::StoreAway), event("b1", u64::MAX, 0, Kind::StoreBack)];
    let long = lanes::svg(&long);

    assert!(none.contains("</svg>") && !none.contains("store-"));
    assert!(long.contains("store-away") && long.contains("store-back"));
}

/// Guards against one unreachable process that hides the timeline of the others.
#[test]
fn unreachable_processes_are_listed() {
    let peers = ["10.0.0.1:9464".to_string(), "10.0.0.2:9464".to_string()];
    let events = vec![event("b1", 1_000, 0, Kind::StoreAway)];
    let answers = vec![
        Ok(Timeline { events, unknown: 1, overwritten: 30 }),
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

/// Guards against contradictory or overlapping arguments, and against kinds that are
/// accepted but do not exist.
#[test]
fn arguments_are_checked() {
    let parse = |line: &str| command().try_get_matches_from(line.split(' '));

    command().debug_assert();
    assert!(parse("timeline --admin a:1,b:2 --kind domain-out,flow-closed").is_ok());
    assert!(parse("timeline --kind sunrise").is_err());
    assert!(parse("timeline --revision latest").is_err());
    assert!(parse("timeline --follow --svg lanes.svg").is_err());
}

/// Guards against a command that asks one process only, or fails as a whole when one of them
/// is unreachable.
#[test]
fn run_draws_what_the_reachable_processes_say() {
    let first = endpoint("b1");
    let second = endpoint("rope-1");
    let unreachable = unused();
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("lanes.svg");
    let path = file.to_str().expect("a path in UTF-8");
    let peers = format!("{first},{second},{unreachable}");

    let line = ["timeline", "--admin", &peers, "--svg", path];
    let matches = command().get_matches_from(line);
    let status = run(&matches);

    assert_eq!(format!("{status:?}"), format!("{:?}", ExitCode::SUCCESS));
    let svg = std::fs::read_to_string(file).expect("drawn");
    assert!(svg.contains("\nb1\n") && svg.contains("\nrope-1\n"), "{svg}");
}

/// Guards against a script that takes an unreachable fleet for one without events.
#[test]
fn run_fails_if_no_process_answers() {
    let line = format!("timeline --admin {}", unused());

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
    let address = server.local();
    let admin = Admin::new(Silent, recorder, metrics);
    smol::spawn(server.serve(admin, std::future::pending())).detach();
    address
}

/// An address of loopback at which nobody listens; no endpoint uses this part of loopback.
fn unused() -> SocketAddr {
    let listener = TcpListener::bind("127.44.1.1:0").expect("a free port");
    listener.local_addr().expect("bound")
}

/// A source that is not asked.
struct Silent;

impl Source for Silent {
    fn ready(&self) -> Result<(), String> {
        unreachable!("the timeline does not ask for readiness")
    }

    fn status(&self) -> Status {
        unreachable!("the timeline does not ask for the status")
    }
}

/// A failure domain is taken out while a backend server of another one drains.
fn incident() -> Vec<Event> {
    let service = |mut event: Event| {
        event.service = Some("peakline/ropeledger".into());
        event
    };
    let revised = |mut event: Event, revision| {
        event.revision = Some(revision);
        event
    };
    let out = |process, at, count| {
        let kind = Kind::DomainOut { affected: "matlock".into() };
        revised(event(process, at, count, kind), 42)
    };
    let started = Kind::ProcessStarted { role: Role::Agent, node: node::Id(0xfeed) };
    let rope = |kind, at, count| service(event("rope-1", at, count, kind));
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
        service(event("b1", 15_050, 0, Kind::MemberLeaving { member: "rope-1".into() })),
    ]
}

/// An event of a process; agents are in another failure domain than balancers.
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
