//! Renders the report of a demo as a self-contained HTML file.

use std::fmt::Write;

use lentilreach::Name;

use crate::plot;

/// Time series of a run with one row per second.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Series {
    /// The backend servers, in the order of [`Row::open`].
    pub servers: Vec<Name>,
    /// Rows in ascending order of seconds.
    pub rows: Vec<Row>,
    /// Changes to the deployment: second and description.
    pub changes: Vec<(u32, String)>,
}

/// Values of one second.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Row {
    /// Seconds since the start.
    pub second: u32,
    /// Open flows of each backend server at the end of the second; zero while it is not
    /// running.
    pub open: Vec<u32>,
    /// Requests answered within the second.
    pub answered: u32,
    /// Requests refused as not run within the second.
    pub refused: u32,
    /// Requests that ended with an unknown outcome within the second.
    pub unknown: u32,
}

/// Style sheet of the page.
const STYLE: &str = "\
body { font: 15px/1.4 sans-serif; max-width: 1000px; margin: 2em auto; padding: 0 1em; }
svg { width: 100%; height: auto; }
td, th { padding: 0 1em 0 0; text-align: right; }
.swatch { display: inline-block; width: 0.8em; height: 0.8em; margin: 0 0.3em 0 1em; }
";

/// Renders a report.
pub fn html(title: &str, series: &Series) -> String {
    let title = escape(title);
    let mut out = format!(
        "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
         <title>{title}</title>\n<style>\n{STYLE}</style>\n</head>\n<body>\n<h1>{title}</h1>\n"
    );
    out.push_str(&totals(series));
    let figures = [
        ("Open flows per backend server", plot::flows(series)),
        ("Requests per second", plot::requests(series)),
    ];
    for (name, figure) in figures {
        let _ = write!(out, "<h2>{name}</h2>\n<figure>\n{}", figure.svg);
        out.push_str(&legend(&figure.legend));
        out.push_str("</figure>\n");
    }
    out.push_str(&changes(series));
    out.push_str("</body>\n</html>\n");
    out
}

/// Renders the totals of requests by outcome.
fn totals(series: &Series) -> String {
    let sum = |of: fn(&Row) -> u32| -> u64 {
        series.rows.iter().map(|row| u64::from(of(row))).sum()
    };
    let (answered, refused) = (sum(|row| row.answered), sum(|row| row.refused));
    let unknown = sum(|row| row.unknown);
    let seconds = series.rows.len();
    format!(
        "<table>\n<tr><th>seconds</th><th>answered</th><th>refused</th><th>unknown</th></tr>\n\
         <tr><td>{seconds}</td><td>{answered}</td><td>{refused}</td><td>{unknown}</td></tr>\n\
         </table>\n"
    )
}

/// Renders a legend.
fn legend(entries: &[plot::LegendEntry]) -> String {
    let mut out = String::from("<figcaption>\n");
    for plot::LegendEntry { name, colour } in entries {
        let name = escape(name);
        let _ = writeln!(
            out,
            "<span class=\"swatch\" style=\"background: {colour}\"></span>{name}"
        );
    }
    out + "</figcaption>\n"
}

/// Renders the changes, numbered like the marks in the figures.
fn changes(series: &Series) -> String {
    if series.changes.is_empty() {
        return String::new();
    }
    let mut out = String::from("<h2>Changes</h2>\n<ol>\n");
    for (second, text) in &series.changes {
        let _ = writeln!(out, "<li>at {second} s: {}</li>", escape(text));
    }
    out + "</ol>\n"
}

/// Escapes special characters of HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
