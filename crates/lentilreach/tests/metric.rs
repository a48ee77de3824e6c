//! Metrics: names, labels and the operators' page about them.

use lentilreach::process::event::Close;
use lentilreach::process::metric::handle::{Call, Outcome, Priority};
use lentilreach::process::metric::{self, ALL, Agent, Balancer, Exchange, Kind, Store};
use lentilreach::request::route::Reason;
use metrics_exporter_prometheus::PrometheusBuilder;

/// Guards against a metric without advice for operators, and against advice on a metric
/// that does not exist or is documented with different labels or a different meaning.
#[test]
fn page_and_constants_agree() {
    let page = include_str!("../../../docs/metrics.md");

    let rows: Vec<&str> =
        page.lines().filter(|line| line.starts_with("| `lentilreach_")).collect();

    let expected: Vec<String> = ALL.iter().map(|metric| row(metric)).collect();
    assert_eq!(rows.len(), expected.len(), "one row for each metric");
    for (row, start) in rows.iter().zip(&expected) {
        let advice = row.strip_prefix(start.as_str());
        let advice =
            advice.unwrap_or_else(|| panic!("{row:?} must start with {start:?}"));
        assert!(advice.trim_matches([' ', '|']).len() > 10, "advice missing in {row:?}");
    }
}

/// Guards against duplicate names and against names without their unit.
#[test]
fn names_are_unique_and_include_their_unit() {
    let mut names: Vec<&str> = ALL.iter().map(|metric| metric.name).collect();

    names.sort_unstable();
    names.dedup();

    assert_eq!(names.len(), ALL.len());
    for metric in ALL {
        assert!(metric.name.starts_with("lentilreach_"), "{}", metric.name);
        let total = metric.name.ends_with("_total");
        assert_eq!(total, metric.kind == Kind::Counter, "{}", metric.name);
        let bytes = metric.name.contains("_bytes");
        assert_eq!(bytes, metric.unit == ::metrics::Unit::Bytes, "{}", metric.name);
    }
}

/// Guards against a handle that counts under a label value other than its argument's.
#[test]
fn handles_count_under_their_labels() {
    let recorder = PrometheusBuilder::new().build_recorder();

    ::metrics::with_local_recorder(&recorder, || {
        metric::describe();
        Balancer::new().count_dropped(Reason::NoMember);
        let agent = Agent::new("weilheim/abo-kalender");
        agent.count_closed(Close::Reset);
        agent.set_open_flows(12);
        Exchange::new().count_sent(Priority::Load, 900);
        Store::new().count_call(Call::Keep, Outcome::Throttled);
        metric::set_revision(7);
    });

    let text = recorder.handle().render();
    for line in [
        "lentilreach_balancer_datagrams_dropped_total{reason=\"no_member\"} 1",
        "lentilreach_agent_flows_closed_total{service=\"weilheim/abo-kalender\",cause=\"reset\"} 1",
        "lentilreach_agent_flows_open{service=\"weilheim/abo-kalender\"} 12",
        "lentilreach_exchange_sent_bytes_total{priority=\"load\"} 900",
        "lentilreach_store_calls_total{call=\"keep\",outcome=\"throttled\"} 1",
        "lentilreach_config_revision 7",
        "# TYPE lentilreach_config_revision gauge",
        "# HELP lentilreach_config_revision The configuration revision in force; zero before \
         the first.",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} missing in\n{text}");
    }
    let others = text.lines().filter(|line| line.contains("dropped_total{"));
    assert_eq!(others.filter(|line| !line.ends_with(" 0")).count(), 1, "{text}");
}

/// The expected start of a metric's row on the page.
fn row(metric: &metric::Metric) -> String {
    let labels: Vec<String> =
        metric.labels.iter().map(|label| format!("`{label}`")).collect();
    let labels = if labels.is_empty() { String::new() } else { labels.join(", ") + " " };
    let (name, kind) = (metric.name, metric.kind.as_str());
    format!("| `{name}` | {kind} | {labels}| {} |", metric.help)
}
