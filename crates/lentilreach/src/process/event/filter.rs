//! Selects events of a timeline.

use crate::process::event::{Event, Label};
use crate::process::name::Name;

/// What events to show. An empty list selects all; lists restrict together.
#[derive(Debug, Default, Clone)]
pub struct Filter {
    /// Services, as `ORGANISATION/SERVICE` or without the organisation.
    pub services: Vec<Name>,
    /// Processes that recorded the event or that it is about.
    pub processes: Vec<Name>,
    /// Configuration revisions.
    pub revisions: Vec<u64>,
    /// Kinds.
    pub kinds: Vec<Label>,
}

impl Filter {
    /// Whether an event is selected.
    pub fn admits(&self, event: &Event) -> bool {
        let service = event.service.as_deref();
        let process = |name: &Name| {
            event.process == *name || event.kind.member().is_some_and(|m| m == name)
        };
        any(&self.services, |name| service.is_some_and(|full| is_service(full, name)))
            && any(&self.processes, process)
            && any(&self.revisions, |revision| event.revision == Some(*revision))
            && any(&self.kinds, |kind| event.kind.label() == *kind)
    }
}

/// Whether the list is empty or one of it matches.
fn any<T>(list: &[T], matches: impl Fn(&T) -> bool) -> bool {
    list.is_empty() || list.iter().any(matches)
}

/// Whether `name` names the service `full`, with or without its organisation.
fn is_service(full: &str, name: &str) -> bool {
    full == name || full.rsplit_once('/').is_some_and(|(_, short)| short == name)
}
