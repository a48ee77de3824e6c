//! Client for the admin endpoints of other processes.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future::or;
use http::header::HOST;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use smol::Timer;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::process::admin::{OVERWRITTEN_HEADER, wire};
use crate::process::clock::Stamp;
use crate::process::event::Event;
use crate::process::event::wire::{Fault, Frame};

/// Timeout for one request, including the connection and the whole response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum length of a response body. The events of a full timeline take about 1 MB.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Events fetched from one process.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Timeline {
    /// Events ordered by stamp.
    pub events: Vec<Event>,
    /// Number of events whose kind this version does not know.
    pub unknown_kinds: usize,
    /// Number of events that the process has overwritten since its start.
    pub overwritten: u64,
}

/// Fetches the events of a process that are later than `since`.
///
/// `peer` is the admin address as `HOST:PORT`.
///
/// # Errors
/// If there is no complete, valid answer within 3 s.
pub async fn events(peer: &str, since: Stamp) -> Result<Timeline, Error> {
    let (headers, body) = get(peer, &format!("/events?since={since}")).await?;
    let count = headers.get(OVERWRITTEN_HEADER).and_then(|value| value.to_str().ok());
    let overwritten = count.and_then(|count| count.parse().ok()).unwrap_or(0);
    let mut timeline = Timeline { overwritten, ..Timeline::default() };
    for line in body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
        let frame: Frame = serde_json::from_slice(line)
            .map_err(|error| Error::invalid(peer, &error.to_string()))?;
        match Event::try_from(frame) {
            Ok(event) => timeline.events.push(event),
            Err(Fault::Kind) => timeline.unknown_kinds += 1,
            Err(fault) => return Err(Error::invalid(peer, &fault.to_string())),
        }
    }
    Ok(timeline)
}

/// Fetches the status of a process.
///
/// # Errors
/// If there is no complete, valid answer within 3 s.
pub async fn status(peer: &str) -> Result<wire::Status, Error> {
    let (_, body) = get(peer, "/status").await?;
    serde_json::from_slice(&body)
        .map_err(|error| Error::invalid(peer, &error.to_string()))
}

/// Why the request to a process failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// A step of the request failed.
    Unreachable {
        /// The step that failed.
        step: &'static str,
        /// The admin address.
        peer: String,
        /// The system's error message.
        reason: String,
    },
    /// There was no complete response in time.
    Timeout {
        /// The admin address.
        peer: String,
    },
    /// The response has a status other than 200.
    Status {
        /// The admin address.
        peer: String,
        /// The HTTP status.
        status: StatusCode,
    },
    /// The response is not a valid response of an admin endpoint.
    Invalid {
        /// The admin address.
        peer: String,
        /// Why it is invalid.
        reason: String,
    },
}

impl Error {
    /// The admin address of the process.
    pub fn peer(&self) -> &str {
        match self {
            Self::Unreachable { peer, .. }
            | Self::Timeout { peer }
            | Self::Status { peer, .. }
            | Self::Invalid { peer, .. } => peer,
        }
    }

    /// Creates the error for an invalid response.
    fn invalid(peer: &str, reason: &str) -> Self {
        Self::Invalid { peer: peer.into(), reason: reason.into() }
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable { step, peer, reason } => {
                write!(f, "{peer}: {step}: {reason}")
            }
            Self::Timeout { peer } => {
                write!(
                    f,
                    "{peer}: no complete answer within {} s",
                    REQUEST_TIMEOUT.as_secs()
                )
            }
            Self::Status { peer, status } => write!(f, "{peer}: answered {status}"),
            Self::Invalid { peer, reason } => {
                write!(f, "{peer}: not an admin endpoint of lentilreach: {reason}")
            }
        }
    }
}

impl std::error::Error for Error {}

/// Fetches a path within [`REQUEST_TIMEOUT`].
async fn get(peer: &str, path: &str) -> Result<(HeaderMap, Bytes), Error> {
    let timeout = async {
        Timer::after(REQUEST_TIMEOUT).await;
        Err(Error::Timeout { peer: peer.into() })
    };
    or(fetch_response(peer, path), timeout).await
}

/// Sends one request and reads the response.
async fn fetch_response(peer: &str, path: &str) -> Result<(HeaderMap, Bytes), Error> {
    let stream = TcpStream::connect(peer).await.map_err(step_error("connect", peer))?;
    let (mut sender, connection) =
        http1::handshake::<_, Empty<Bytes>>(FuturesIo::new(stream))
            .await
            .map_err(step_error("open", peer))?;
    let request = Request::get(path)
        .header(HOST, peer)
        .body(Empty::new())
        .map_err(step_error("write request", peer))?;
    let read_response = async {
        let response =
            sender.send_request(request).await.map_err(step_error("request", peer))?;
        let (head, body) = response.into_parts();
        if head.status != StatusCode::OK {
            return Err(Error::Status { peer: peer.into(), status: head.status });
        }
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        Ok((head.headers, body.map_err(step_error("read answer", peer))?.to_bytes()))
    };
    // The connection must be polled until the response is complete. Its result is
    // ignored, because a failure also ends the response with an error.
    let run_connection = async {
        let _ = connection.await;
        std::future::pending().await
    };
    or(read_response, run_connection).await
}

/// Returns a function that adds the step and the peer to an error.
fn step_error<E: Display>(step: &'static str, peer: &str) -> impl FnOnce(E) -> Error {
    let peer = peer.to_string();
    move |error| Error::Unreachable { step, peer, reason: error.to_string() }
}
