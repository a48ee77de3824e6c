//! Rules based on a request's headers and method: idempotency, deadline, hop-by-hop headers.

use http::{HeaderMap, Method};

/// Request header with the caller's time limit for the response, in milliseconds.
pub const DEADLINE: &str = "lentilreach-deadline-ms";

/// Response header with the binding that idempotency keys must start with.
pub const BINDING: &str = "lentilreach-binding";

/// Response header with the outcome of a request that the backend server did not respond to.
pub const OUTCOME: &str = "lentilreach-outcome";

/// Request header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Maximum size of a request body, in bytes. Bodies are buffered whole, since a non-idempotent
/// request must not start before all of its body has arrived.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// Outcome of a request, as sent in the [`OUTCOME`] header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// No byte of it was sent to a backend server, and none will be.
    NotRun,
    /// It may have run, completely or in part.
    Unknown,
    /// It is running at the agent that owns its key.
    Running,
    /// It has run; the response is no longer stored or is too large to pass on.
    Done,
}

impl Outcome {
    /// The value of the header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Running => "running",
            Self::Done => "done",
        }
    }
}

/// Whether a request with this method may run more than once (RFC 9110, section 9.2.2).
pub fn is_idempotent(method: &Method) -> bool {
    method.is_idempotent()
}

/// The time limit that the caller requested, or `limit_ms` if it requested none or a longer
/// one.
pub fn deadline_ms(headers: &HeaderMap, limit_ms: u64) -> u64 {
    let requested =
        headers.get(DEADLINE).and_then(|value| value.to_str().ok()?.parse().ok());
    requested.unwrap_or(limit_ms).min(limit_ms)
}

/// Whether a header is hop-by-hop and must not be forwarded (RFC 9110, section 7.6.1).
pub fn is_hop_by_hop(name: &http::HeaderName) -> bool {
    use http::header::{
        CONNECTION, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    };
    [CONNECTION, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING]
        .contains(name)
        || *name == UPGRADE
        || name.as_str() == "keep-alive"
        || name.as_str() == "proxy-connection"
}
