//! Formats the timeline as lines of text.

use jiff::Timestamp;
use lentilreach::process::clock::Stamp;
use lentilreach::process::event::Event;

use crate::fleet;

/// Formats one line per event: time in UTC, process, failure domain, and the event itself.
pub fn lines(events: &[Event]) -> String {
    let row = |event: &Event| {
        vec![
            format_time(event.stamp),
            event.process.to_string(),
            event.domain.to_string(),
            event.to_string(),
        ]
    };
    fleet::align_columns(&events.iter().map(row).collect::<Vec<_>>())
}

/// Formats the wall-clock part of a stamp as a time in UTC with milliseconds.
fn format_time(stamp: Stamp) -> String {
    let wall_ms = i64::try_from(stamp.wall_ms).unwrap_or(i64::MAX);
    match Timestamp::from_millisecond(wall_ms) {
        Ok(time) => format!("{time:.3}"),
        // The time is after the year 9999: the clock of the process is wrong, but its events
        // are shown.
        Err(_) => stamp.to_string(),
    }
}
