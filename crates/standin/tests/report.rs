//! Tests the HTML report of a demo.

use lentilreach_standin::report::{Row, Series, html};

/// Guards against a report that references other files or lacks a part.
#[test]
fn report_has_both_figures_and_all_changes() {
    let page = html("weilheim, plan domain", &series());

    assert_eq!(page.matches("<svg ").count(), 2);
    for reference in ["src=", "href=", "url(", "<script"] {
        assert!(!page.contains(reference), "{reference}");
    }
    insta::assert_snapshot!(outline(&page));
}

/// Guards against HTML injection through names and descriptions.
#[test]
fn texts_are_escaped() {
    let mut series = series();
    series.changes = vec![(1, "<script>alert(1)</script> & more".into())];
    series.servers[0] = "<b>".into();

    let page = html("a \"title\" <i>", &series);

    assert!(page.contains("<h1>a &quot;title&quot; &lt;i&gt;</h1>"));
    assert!(page.contains("&lt;script&gt;alert(1)&lt;/script&gt; &amp; more"));
    assert!(!page.contains("<b>") && !page.contains("<script"));
}

/// Guards against a report that fails for a run without samples.
#[test]
fn an_empty_series_has_a_report() {
    let page = html("empty", &Series::default());

    assert_eq!(page.matches("<svg ").count(), 2);
    assert!(!page.contains("NaN") && !page.contains("inf"));
}

/// Guards against lines whose points do not match the values.
#[test]
fn lines_follow_the_values() {
    let mut series = series();
    series.servers.truncate(1);
    for (row, open) in series.rows.iter_mut().zip([0, 100, 50]) {
        row.open = vec![open];
    }

    let figure = lentilreach_standin::plot::flows(&series);

    let colour = figure.legend[0].colour.to_uppercase();
    let line = figure.svg.lines().find(|line| {
        line.starts_with("<polyline") && line.contains(&colour) && line.contains("\"2\"")
    });
    let points = line.and_then(|line| line.split("points=\"").nth(1)).expect("a line");
    let points = points.trim_end_matches([' ', '"', '/', '>']);
    let heights: Vec<i32> = points
        .split_whitespace()
        .filter_map(|point| point.split_once(',')?.1.parse().ok())
        .collect();
    let [zero, full, half] = heights[..] else { panic!("{points}") };
    assert!((2 * (zero - half) - (zero - full)).abs() <= 2, "{heights:?}");
    assert!(zero - full > 100, "{heights:?}");
}

/// Three seconds with two backend servers, one of which stops.
fn series() -> Series {
    let row = |second, open: [u32; 2], answered, refused, unknown| Row {
        second,
        open: open.to_vec(),
        answered,
        refused,
        unknown,
    };
    Series {
        servers: vec!["abo-1".into(), "abo-2".into()],
        rows: vec![
            row(0, [100, 101], 300, 0, 0),
            row(1, [180, 0], 140, 20, 3),
            row(2, [201, 0], 150, 12, 0),
        ],
        changes: vec![(1, "abo-2 stopped without warning".into())],
    }
}

/// The page without drawing elements: headings, tables, captions, lists and texts of figures.
fn outline(page: &str) -> String {
    let kept = page.lines().filter(|line| {
        let drawing =
            ["<rect", "<polyline", "<text", "</text", "<circle", "<svg", "<line "];
        !drawing.iter().any(|tag| line.starts_with(tag))
    });
    kept.collect::<Vec<_>>().join("\n")
}
