//! Tests of the metrics and of their page for operators.

use lentilreach::process::metric::Kind;
use lentilreach_steer::process::metric::ALL;

/// The page must describe exactly the existing metrics, with their labels and help texts
/// and with advice for operators.
#[test]
fn page_and_constants_agree() {
    let page = include_str!("../../../docs/metrics-segments.md");

    let rows: Vec<&str> =
        page.lines().filter(|line| line.starts_with("| `lentilreach_")).collect();

    assert_eq!(rows.len(), ALL.len(), "one row for each metric");
    for (row, metric) in rows.iter().zip(ALL) {
        let labels: Vec<_> =
            metric.labels.iter().map(|label| format!("`{label}`")).collect();
        let start = format!(
            "| `{}` | {} | {} | {} | ",
            metric.name,
            metric.kind.as_str(),
            labels.join(", "),
            metric.help
        );
        let advice = row.strip_prefix(start.as_str());
        let advice =
            advice.unwrap_or_else(|| panic!("{row:?} must start with {start:?}"));
        assert!(advice.trim_matches([' ', '|']).len() > 10, "advice missing in {row:?}");
    }
}

/// Names must be unique and must end with the unit.
#[test]
fn names_are_unique_and_carry_their_unit() {
    let mut names: Vec<&str> = ALL.iter().map(|metric| metric.name).collect();

    names.sort_unstable();
    names.dedup();

    assert_eq!(names.len(), ALL.len());
    for metric in ALL {
        let total = metric.name.ends_with("_total");
        assert_eq!(total, metric.kind == Kind::Counter, "{}", metric.name);
        let seconds = metric.name.ends_with("_seconds");
        assert_eq!(seconds, metric.unit == metrics::Unit::Seconds, "{}", metric.name);
    }
}
