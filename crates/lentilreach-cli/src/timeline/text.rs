//! The timeline as lines of text.

use jiff::Timestamp;
use lentilreach::process::clock::Stamp;
use lentilreach::process::event::Event;

use crate::fleet;

/// One line per event: time in UTC, process, failure domain, what happened.
pub fn lines(events: &[Event]) -> String {
    let row = |event: &Event| {
        vec![
            time(event.stamp),
            event.process.to_string(),
            event.domain.to_string(),
            event.to_string(),
        ]
    };
    fleet::columns(&events.iter().map(row).collect::<Vec<_>>())
}

/// The physical part of a stamp as a time in UTC with milliseconds.
fn time(stamp: Stamp) -> String {
    let millis = i64::try_from(stamp.wall_ms).unwrap_or(i64::MAX);
    match Timestamp::from_millisecond(millis) {
        Ok(time) => format!("{time:.3}"),
        // Beyond the year 9999: a process with a broken clock still has its events shown.
        Err(_) => stamp.to_string(),
    }
}
