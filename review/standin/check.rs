//! The rules, as far as the cases need them, on what clients and targets saw.

use std::collections::HashMap;

use crate::record::{self, Event, Flow, What};

/// The largest number of openings that a target took in one second of its cold time, counting
/// those that were sent and arrived inside that second.
pub fn most_openings(events: &[Event], target: &str, since: f64, until: f64) -> usize {
    let mut sent: HashMap<(Flow, u32), f64> = HashMap::new();
    let mut taken = Vec::new();
    for event in events {
        match &event.what {
            What::SentOpening { flow, copy } => {
                sent.insert((*flow, *copy), event.ms);
            }
            What::TookOpening { flow, copy, target: own } if own == target => {
                if event.ms >= since && event.ms <= until {
                    let sent_ms = sent.get(&(*flow, *copy)).copied().unwrap_or(event.ms);
                    taken.push((sent_ms.max(since), sent_ms, event.ms));
                }
            }
            _ => {}
        }
    }
    let count = |start: f64| {
        taken
            .iter()
            .filter(|(_, sent, arrived)| *sent >= start && *arrived <= start + 1_000.0)
            .count()
    };
    taken.iter().map(|(_, sent, _)| count(*sent)).max().unwrap_or(0)
}

/// Requests that ran at another service than that of their route.
pub fn foreign_runs(
    events: &[Event],
    services: &[(std::net::SocketAddrV4, &str)],
) -> Vec<String> {
    let mut found = Vec::new();
    for event in events {
        let What::Ran { flow, id, target, service } = &event.what else { continue };
        let own =
            services.iter().find(|(address, _)| *address == flow.1).map(|(_, own)| *own);
        if own != Some(service) {
            found.push(format!(
                "{:.1} ms: request {id} of a client of {} ran at {target} of {service}",
                event.ms,
                own.unwrap_or("no service")
            ));
        }
    }
    found
}

/// Openings to a route that were first sent after a time and were answered with a reset.
pub fn refused_after(
    events: &[Event],
    route: std::net::SocketAddrV4,
    after: f64,
) -> Vec<(f64, f64)> {
    let mut first: HashMap<Flow, f64> = HashMap::new();
    let mut found = Vec::new();
    for event in events {
        match &event.what {
            What::SentOpening { flow, copy: 0 } if flow.1 == route => {
                first.insert(*flow, event.ms);
            }
            What::Reset { flow, is_open: false, .. } if flow.1 == route => {
                if let Some(sent) = first.get(flow).filter(|sent| **sent > after) {
                    found.push((*sent, event.ms));
                }
            }
            _ => {}
        }
    }
    found
}

/// Flows that were open at a target when their client got a reset which no target had sent.
pub fn ended_flows(events: &[Event], target: &str) -> Vec<String> {
    let mut open: HashMap<Flow, f64> = HashMap::new();
    let mut found = Vec::new();
    for event in events {
        match &event.what {
            What::Opened { flow, target: own } if own == target => {
                open.insert(*flow, event.ms);
            }
            What::Reset { flow, is_open: true, is_genuine: false, is_near: true } => {
                if let Some(since) = open.get(flow) {
                    found.push(format!(
                        "{:.1} ms: a reset for flow {} to {}, open since {since:.1} ms",
                        event.ms, flow.0, flow.1
                    ));
                }
            }
            _ => {}
        }
    }
    found
}

/// Reports how the attempts ended.
pub fn summarize(events: &[Event]) {
    let count = |is: &dyn Fn(&What) -> bool| {
        events.iter().filter(|event| is(&event.what)).count()
    };
    record::say(&format!(
        "attempts {}, answered {}, reset {}, given up {}",
        count(&|w| matches!(w, What::SentOpening { copy: 0, .. })),
        count(&|w| matches!(w, What::Answered { .. })),
        count(&|w| matches!(w, What::Reset { .. })),
        count(&|w| matches!(w, What::GaveUp { .. })),
    ));
}
