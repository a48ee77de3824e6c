//! Selection of events.

use crate::process::event::{Event, Label};
use crate::process::name::Name;

/// Criteria that an event must meet. An empty list places no restriction; an event must
/// match every other list.
#[derive(Debug, Default, Clone)]
pub struct Filter {
    /// Services, as `ORGANISATION/SERVICE` or without the organisation.
    pub services: Vec<Name>,
    /// Processes that recorded the event, or that it is about.
    pub processes: Vec<Name>,
    /// Configuration revisions.
    pub revisions: Vec<u64>,
    /// Kinds of events.
    pub kinds: Vec<Label>,
}

impl Filter {
    /// Whether an event meets all criteria.
    pub fn matches(&self, event: &Event) -> bool {
        let service = event.service.as_deref();
        let process = |name: &Name| {
            event.process == *name || event.kind.member().is_some_and(|m| m == name)
        };
        is_met(&self.services, |name| service.is_some_and(|full| is_service(full, name)))
            && is_met(&self.processes, process)
            && is_met(&self.revisions, |revision| event.revision == Some(*revision))
            && is_met(&self.kinds, |kind| event.kind.label() == *kind)
    }
}

/// Whether a criterion is met: its list is empty or one of the elements matches.
fn is_met<T>(list: &[T], matches: impl Fn(&T) -> bool) -> bool {
    list.is_empty() || list.iter().any(matches)
}

/// Whether `name` names the service `full`, with or without the organisation.
fn is_service(full: &str, name: &str) -> bool {
    full == name || full.rsplit_once('/').is_some_and(|(_, short)| short == name)
}
