//! Headers of demo requests, and the expected body of responses.

use http::HeaderMap;

/// Header with the number of a request, the same for all its attempts.
pub const REQUEST: &str = "demo-request";

/// Header with the number of an attempt.
pub const ATTEMPT: &str = "demo-attempt";

/// Header with the name of the requested service.
pub const SERVICE: &str = "demo-service";

/// Response header with the backend server's number.
pub const BACKEND: &str = "demo-backend";

/// Size of a response body after its first line, in bytes.
const FILLER: usize = 2_000;

/// The complete response body to a request. It depends on the request's number, so that
/// callers can verify it.
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
