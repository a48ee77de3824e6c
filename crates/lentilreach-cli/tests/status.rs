//! Checks the output and the arguments of `lentilreach status`.

use lentilreach::process::admin::Error;
use lentilreach::process::admin::wire::{Member, Service, Status};
use lentilreach_cli::status::{Summary, command};

/// Guards against a report that omits unreachable or unready processes, or that does not show
/// that processes report different stages of a member.
#[test]
fn text_shows_processes_members_and_differences() {
    let answers = vec![
        Ok(process("b2", Some(41), &[("rope-1", "active", 60), ("rope-2", "silent", 0)])),
        Ok(process(
            "b1",
            Some(42),
            &[("rope-1", "active", 55), ("rope-2", "active", 45)],
        )),
        Ok(Status {
            unready: Some("no configuration yet".into()),
            ..process("b3", None, &[])
        }),
        Err(Error::Timeout { peer: "10.0.0.4:9464".into() }),
    ];

    let summary = Summary::new(answers);

    insta::assert_snapshot!(summary.text(), @r"
    PROCESS  ROLE      DOMAIN  REVISION  INCARNATION       READY
    b1       balancer  belper  42        000000000000feed  yes
    b2       balancer  belper  41        000000000000feed  yes
    b3       balancer  belper  none      000000000000feed  no: no configuration yet

    peakline/ropeledger, imbalance 1.10
      MEMBER  DOMAIN   STAGE                FLOWS    BUSY
      rope-1  matlock  active               55/2000  1/2
      rope-2  matlock  active (b2: silent)  45/2000  1/2
    unreachable: 10.0.0.4:9464: no complete answer within 3 s
    ");
}

/// Guards against a division by zero if a service has no open flows.
#[test]
fn services_without_flows_have_no_imbalance() {
    let summary =
        Summary::new(vec![Ok(process("b1", Some(1), &[("rope-1", "active", 0)]))]);

    let text = summary.text();

    assert!(text.contains("peakline/ropeledger\n"), "{text}");
}

/// Guards against inconsistent definitions of the arguments and invalid values.
#[test]
fn arguments_are_checked() {
    command().debug_assert();
    assert!(command().try_get_matches_from(["status", "--report", "xml"]).is_err());
}

/// Builds the status of a balancer with members, given as name, stage and open flows.
fn process(name: &str, revision: Option<u64>, members: &[(&str, &str, u32)]) -> Status {
    let member = |(name, stage, open): &(&str, &str, u32)| Member {
        name: name.to_string(),
        domain: "matlock".into(),
        stage: stage.to_string(),
        open: *open,
        limit: 2_000,
        busy: 1,
        slots: 2,
    };
    let members = members.iter().map(member).collect();
    Status {
        name: name.into(),
        role: "balancer".into(),
        incarnation: "000000000000feed".into(),
        domain: "belper".into(),
        ready: revision.is_some(),
        unready: None,
        revision,
        services: vec![Service { name: "peakline/ropeledger".into(), members }],
    }
}
