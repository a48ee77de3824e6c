//! The timeline: ring, recorder, JSON form, merge and filter.

use lentilreach::Name;
use lentilreach::id::node;
use lentilreach::process::clock::{Hybrid, Stamp};
use lentilreach::process::event::merge::{Merger, merge};
use lentilreach::process::event::recorder::{Bounds, Recorder};
use lentilreach::process::event::wire::{Fault, Frame};
use lentilreach::process::event::{
    Close, Drain, DrainEnd, Event, Evidence, Filter, Kind, Label, Refusal, Ring, Role,
    Stop,
};
use metrics_exporter_prometheus::PrometheusBuilder;
use proptest::prelude::*;

/// Guards against a ring that grows without bound or drops its latest events.
#[test]
fn ring_keeps_the_latest_and_counts_the_rest() {
    let mut ring = Ring::new(3);

    for wall_ms in 1..=5 {
        ring.push(event("b1", wall_ms, Kind::StoreAway));
    }

    let kept: Vec<u64> = ring.since(stamp(0)).map(|event| event.stamp.wall_ms).collect();
    assert_eq!(kept, [3, 4, 5]);
    assert_eq!(ring.len(), 3);
    assert_eq!(ring.overwritten(), 2);
}

/// Guards against a reader that gets the event with its own stamp again or misses the
/// next one.
#[test]
fn ring_returns_events_after_a_stamp_only() {
    let mut ring = Ring::new(10);
    for wall_ms in [1, 2, 3] {
        ring.push(event("b1", wall_ms, Kind::StoreAway));
    }

    let later: Vec<u64> = ring.since(stamp(2)).map(|event| event.stamp.wall_ms).collect();

    assert_eq!(later, [3]);
    assert_eq!(ring.since(stamp(3)).count(), 0);
}

/// Guards against flow events that displace state changes, and against flow events that
/// are not counted because they are not stored.
#[test]
fn flows_are_sampled_and_do_not_displace_state_changes() {
    let metrics = PrometheusBuilder::new().build_recorder();
    let bounds = Bounds { state_capacity: 4, flow_capacity: 2, sample_interval: 10 };
    let recorder = ::metrics::with_local_recorder(&metrics, || {
        Recorder::with_bounds("a1".into(), "belper".into(), bounds)
    });

    recorder.record(1, Kind::BackendWarm);
    for flow in 0..100 {
        recorder.record(2, Kind::FlowOpened { flow });
    }

    let kept = recorder.since(Stamp::default());
    let flows: Vec<u64> = kept.iter().filter_map(|event| event.kind.flow()).collect();
    assert_eq!(flows, [80, 90], "the latest 2 of the 10 sampled flows");
    assert_eq!(kept[0].kind, Kind::BackendWarm);
    assert_eq!(recorder.overwritten(), 8);
    let text = metrics.handle().render();
    assert!(
        text.contains("lentilreach_events_total{kind=\"flow-opened\"} 100"),
        "{text}"
    );
    assert!(text.contains("lentilreach_events_overwritten_total 8"), "{text}");
}

/// Guards against sampling that stores the opening of a flow but not its closing.
#[test]
fn a_sampled_flow_has_its_opening_and_its_closing() {
    let bounds = Bounds { sample_interval: 8, ..Bounds::default() };
    let recorder = Recorder::with_bounds("a1".into(), "belper".into(), bounds);

    for flow in 0..64 {
        recorder.record(1, Kind::FlowOpened { flow });
        recorder.record(2, Kind::FlowClosed { flow, cause: Close::Drained });
    }

    let kept = recorder.since(Stamp::default());
    let flows_of = |label| {
        let events = kept.iter().filter(move |event| event.kind.label() == label);
        events.filter_map(|event| event.kind.flow()).collect::<Vec<u64>>()
    };
    assert_eq!(flows_of(Label::FlowOpened), [0, 8, 16, 24, 32, 40, 48, 56]);
    assert_eq!(flows_of(Label::FlowOpened), flows_of(Label::FlowClosed));
}

/// Guards against memory use that depends on the length of a store value's rejection
/// reason.
#[test]
fn a_long_reason_is_truncated_at_a_character() {
    let recorder = Recorder::new("b1".into(), "belper".into());
    let reason: Name = "ü".repeat(1_000).into();

    recorder
        .record(1, Kind::ConfigRejected { entry: "lentilreach/domain".into(), reason });

    let kept = recorder.since(Stamp::default());
    let Kind::ConfigRejected { reason, .. } = &kept[0].kind else { panic!("{kept:?}") };
    assert_eq!(reason.chars().count(), 128, "256 bytes");
}

/// Guards against key material in events and the log when a parser's error quotes its
/// input.
#[test]
fn reasons_about_the_key_ring_are_withheld() {
    let recorder = Recorder::new("b1".into(), "belper".into());
    let reason: Name = "line 1: unexpected \"5eC2e7\"".into();

    recorder.record(1, Kind::ConfigRejected { entry: "lentilreach/key".into(), reason });

    let shown = recorder.since(Stamp::default())[0].to_string();
    assert!(
        shown.contains("entry=lentilreach/key") && !shown.contains("5eC2e7"),
        "{shown}"
    );
}

/// Guards against a merge that places an effect before its cause because the wall clock
/// of the process with the effect is behind.
#[test]
fn merge_keeps_causes_before_effects_with_skewed_clocks() {
    let ahead = Recorder::new("ahead".into(), "belper".into());
    let behind = Recorder::new("behind".into(), "matlock".into());

    ahead.record(10_000, Kind::RelayGained { slot: 0 });
    let message = ahead.stamp(10_001);
    behind.record(2_000, Kind::StoreAway);
    assert!(behind.observe(message, 2_010));
    behind.record(2_010, Kind::ConfigInForce.with_revision(7));
    let answer = behind.stamp(2_011);
    assert!(ahead.observe(answer, 10_002));
    ahead.record(10_002, Kind::RelayLost { slot: 0 });

    let merged =
        merge(vec![behind.since(Stamp::default()), ahead.since(Stamp::default())]);
    let labels: Vec<Label> = merged.iter().map(|event| event.kind.label()).collect();
    assert_eq!(
        labels,
        [Label::StoreAway, Label::RelayGained, Label::ConfigInForce, Label::RelayLost]
    );
}

/// Guards against duplicate events when a process was queried twice.
#[test]
fn merge_removes_repeated_events() {
    let events = vec![event("b1", 1, Kind::StoreAway), event("b1", 2, Kind::StoreBack)];

    let merged = merge(vec![events.clone(), events.clone(), events[1..].to_vec()]);

    assert_eq!(merged, events);
}

/// Guards against a live timeline that shows an effect before its cause, which was
/// fetched one round later.
#[test]
fn feed_delays_events_by_one_round() {
    let cause = event("a", 5, Kind::RelayGained { slot: 0 });
    let effect = event("b", 6, Kind::ConfigInForce);
    let later = event("a", 9, Kind::RelayLost { slot: 0 });
    let mut merger = Merger::default();

    let first = merger.merge_round(vec![vec![], vec![effect.clone()]]);
    let second = merger.merge_round(vec![vec![cause.clone(), later.clone()], vec![]]);
    let third = merger.merge_round(vec![vec![], vec![]]);

    assert_eq!(first, []);
    assert_eq!(second, [cause, effect]);
    assert_eq!(third, [later]);
    assert_eq!(merger.merge_round(vec![]), []);
}

proptest! {
    /// Guards against an order that depends on which process answered first, and against
    /// an effect before its cause for any clock skew within the allowed limit.
    #[test]
    fn merge_is_causal_for_any_exchange(
        skews in prop::collection::vec(0_u64..50_000, 4),
        messages in prop::collection::vec((0_usize..4, 0_usize..4), 1..60),
    ) {
        let mut clocks: Vec<Hybrid> = skews.iter().map(|_| Hybrid::default()).collect();
        let mut timelines = vec![Vec::new(); 4];
        let mut pairs = Vec::new();

        for (step, (from, to)) in messages.into_iter().enumerate() {
            let now = 1_000 + step as u64;
            let slot = step as u8;
            let sent = clocks[from].stamp(now + skews[from]);
            timelines[from].push(stamped(from, sent, Kind::RelayGained { slot }));
            prop_assert!(clocks[to].observe(sent, now + skews[to]));
            let received = clocks[to].stamp(now + skews[to]);
            timelines[to].push(stamped(to, received, Kind::RelayLost { slot }));
            pairs.push(slot);
        }

        let merged = merge(timelines.clone());
        timelines.reverse();
        prop_assert_eq!(&merged, &merge(timelines));
        let position = |kind: Kind| merged.iter().position(|event| event.kind == kind);
        for slot in pairs {
            let cause = position(Kind::RelayGained { slot });
            let effect = position(Kind::RelayLost { slot });
            prop_assert!(cause.is_some() && cause < effect);
        }
    }
}

/// Guards against a kind that is changed by encoding and decoding.
#[test]
fn json_round_trip_of_every_kind() {
    let kinds = kinds();

    for kind in &kinds {
        let event = Event { kind: kind.clone(), ..event("b1", 5, Kind::StoreAway) };
        let text = serde_json::to_string(&Frame::from(&event)).expect("a frame is JSON");
        let frame: Frame = serde_json::from_str(&text).expect("the text is a frame");
        assert_eq!(Event::try_from(frame), Ok(event), "{text}");
    }

    let mut labels: Vec<Label> = kinds.iter().map(Kind::label).collect();
    labels.dedup();
    assert_eq!(labels, Label::ALL, "a kind is not covered by the test");
}

/// Guards against changes of the JSON form, which operators' scripts read.
#[test]
fn json_form_is_stable() {
    let kind = Kind::FlowClosed { flow: u64::MAX, cause: Close::DomainOut };
    let event = Event {
        service: Some("peakline/ropeledger".into()),
        revision: Some(41),
        ..event("a1", 1_700_000_000_000, kind)
    };

    let text = serde_json::to_string(&Frame::from(&event)).expect("a frame is JSON");

    insta::assert_snapshot!(text, @r#"{"stamp":"1700000000000.0","process":"a1","domain":"belper","service":"peakline/ropeledger","revision":41,"kind":"flow-closed","cause":"domain-out","flow":"ffffffffffffffff"}"#);
    insta::assert_snapshot!(event, @"flow-closed service=peakline/ropeledger revision=41 flow=ffffffffffffffff cause=domain-out");
}

/// Guards against a panic or a wrong event when a frame is invalid or from a later
/// version.
#[test]
fn invalid_frames_are_rejected() {
    let valid = Frame::from(&event("b1", 5, Kind::RelayGained { slot: 1 }));
    let cases = [
        (Frame { kind: "unknown-kind".into(), ..valid.clone() }, Fault::Kind),
        (Frame { slot: None, ..valid.clone() }, Fault::Field("slot")),
        (Frame { stamp: "5".into(), ..valid.clone() }, Fault::Stamp),
        (Frame { stamp: "-5.0".into(), ..valid.clone() }, Fault::Stamp),
        (Frame { process: String::new(), ..valid.clone() }, Fault::Field("process")),
        (Frame { kind: "backend-cold".into(), ..valid.clone() }, Fault::Field("cause")),
        (Frame { kind: "flow-opened".into(), ..valid }, Fault::Field("flow")),
    ];

    for (frame, fault) in cases {
        assert_eq!(Event::try_from(frame), Err(fault));
    }
}

/// Guards against a filter that hides requested events or shows others.
#[test]
fn filter_restricts_by_every_field() {
    let silent = Kind::MemberSilent { member: "abo-3".into() };
    let events = [
        Event {
            service: Some("weilheim/abo-kalender".into()),
            ..event("b1", 1, silent.clone())
        },
        Event { revision: Some(7), ..event("b2", 2, Kind::ConfigInForce) },
        event("abo-3", 3, Kind::BackendWarm),
    ];
    let shown = |filter: Filter| -> Vec<u64> {
        let shown = events.iter().filter(|event| filter.matches(event));
        shown.map(|event| event.stamp.wall_ms).collect()
    };

    assert_eq!(shown(Filter::default()), [1, 2, 3]);
    let service =
        |name: &str| Filter { services: vec![name.into()], ..Filter::default() };
    assert_eq!(shown(service("abo-kalender")), [1]);
    assert_eq!(shown(service("weilheim/abo-kalender")), [1]);
    assert_eq!(shown(service("peakline/abo-kalender")), [] as [u64; 0]);
    let process = Filter { processes: vec!["abo-3".into()], ..Filter::default() };
    assert_eq!(shown(process.clone()), [1, 3], "events by the process and about it");
    assert_eq!(shown(Filter { revisions: vec![7], ..Filter::default() }), [2]);
    let kinds = Filter { kinds: vec![Label::BackendWarm, silent.label()], ..process };
    assert_eq!(shown(kinds), [1, 3]);
}

/// A value of every kind, in the order of [`Label::ALL`].
fn kinds() -> Vec<Kind> {
    let member: Name = "abo-3".into();
    let affected: Name = "matlock".into();
    let entry: Name = "lentilreach/service/peakline/certdesk".into();
    vec![
        Kind::ProcessStarted { role: Role::Agent, node: node::Id(u64::MAX) },
        Kind::ProcessStopping { cause: Stop::Drained },
        Kind::ProcessStopped,
        Kind::ConfigInForce,
        Kind::ConfigRejected { entry, reason: "line 3: \"slots\" is 0".into() },
        Kind::DomainOut { affected: affected.clone() },
        Kind::DomainBack { affected },
        Kind::MemberJoined { member: member.clone() },
        Kind::MemberLeaving { member: member.clone() },
        Kind::MemberSilent { member: member.clone() },
        Kind::MemberHeard { member: member.clone() },
        Kind::MemberGone { member },
        Kind::BackendCold { evidence: Evidence::Overdue },
        Kind::BackendWarm,
        Kind::DrainStarted { cause: Drain::BackendServer },
        Kind::DrainFinished { end: DrainEnd::Limit },
        Kind::FlowOpened { flow: 1 },
        Kind::FlowClosed { flow: 2, cause: Close::IdleTimeout },
        Kind::FlowRefused { flow: 3, reason: Refusal::Cold },
        Kind::RelayGained { slot: 1 },
        Kind::RelayLost { slot: 0 },
        Kind::KeysRotated { key: 9 },
        Kind::StoreAway,
        Kind::StoreBack,
    ]
}

/// Creates an event of a process.
fn event(process: &str, wall_ms: u64, kind: Kind) -> Event {
    Event {
        stamp: stamp(wall_ms),
        process: process.into(),
        domain: "belper".into(),
        service: None,
        revision: None,
        kind,
    }
}

/// Creates an event of process number `process` with the given stamp.
fn stamped(process: usize, stamp: Stamp, kind: Kind) -> Event {
    Event { stamp, ..event(&format!("p{process}"), 0, kind) }
}

/// The first stamp of a millisecond.
fn stamp(wall_ms: u64) -> Stamp {
    Stamp { wall_ms, count: 0 }
}
