//! Rules that a request's head decides: whether it may run twice, its deadline, its key.

use http::{HeaderMap, Method};

/// Header with the time that a caller allows for the answer, in milliseconds.
pub const DEADLINE: &str = "lentilreach-deadline-ms";

/// Header with the binding that idempotency keys must start with.
pub const BINDING: &str = "lentilreach-binding";

/// Header that says what became of a request that has no answer of the backend server.
pub const OUTCOME: &str = "lentilreach-outcome";

/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Largest request body in bytes. Bodies are held whole, since a non-idempotent request
/// must not start before all of it is here.
pub const MAX_BODY: usize = 64 << 10;

/// What became of a request, as told in the [`OUTCOME`] header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// No byte of it has gone to a backend server, and none will.
    NotRun,
    /// It may have run, whole or in part.
    Unknown,
    /// It is running at the agent that owns its key.
    Running,
    /// It has run; the answer is no longer held or too large to pass on.
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

/// The time that the caller allows, if it says so, but at most `limit_ms`.
pub fn deadline_ms(headers: &HeaderMap, limit_ms: u64) -> u64 {
    let asked = headers.get(DEADLINE).and_then(|value| value.to_str().ok()?.parse().ok());
    asked.unwrap_or(limit_ms).min(limit_ms)
}

/// Whether a header is about one connection and is not passed on (RFC 9110, section 7.6.1).
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
