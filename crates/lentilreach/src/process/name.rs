//! Names as shared immutable strings.

use std::sync::Arc;

/// The name of an organisation, service, failure domain, template or process.
///
/// Clones share the same text, so a name can be kept in every version and event.
pub type Name = Arc<str>;
