//! What callers ask for, and what the whole answer to it is.

use http::HeaderMap;

/// Header with the number of a request, the same for all its attempts.
pub const REQUEST: &str = "demo-request";

/// Header with the number of an attempt.
pub const ATTEMPT: &str = "demo-attempt";

/// Header with the service that the caller means.
pub const SERVICE: &str = "demo-service";

/// Header of answers with the backend server's number.
pub const BACKEND: &str = "demo-backend";

/// Bytes of an answer's body beyond its first line.
const FILLER: usize = 2_000;

/// The whole answer to a request: it tells the request's number and is easy to check.
pub fn body(service: &str, request: u64) -> Vec<u8> {
    let mut body = format!("{service} {request}\n").into_bytes();
    let fill = (0..FILLER).map(|at| b'a' + ((request as usize + at) % 26) as u8);
    body.extend(fill);
    body
}

/// Reads a number from a header.
pub fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
