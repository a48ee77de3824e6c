//! Names as shared immutable strings.

use std::sync::Arc;

/// The name of an organisation, service, failure domain, template or process.
///
/// Clones share the text, so storing a name in every configuration version and event is
/// cheap.
pub type Name = Arc<str>;
