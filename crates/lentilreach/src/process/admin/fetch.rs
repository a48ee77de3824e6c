//! Asks the admin endpoints of other processes.

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

use crate::process::admin::{OVERWRITTEN, wire};
use crate::process::clock::Stamp;
use crate::process::event::Event;
use crate::process::event::wire::{Fault, Frame};

/// Time for one request, from the connection to the last byte.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Bytes of a response at most. A full timeline takes about 1 MB.
const MAX_BODY: usize = 16 << 20;

/// Events of one process.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Timeline {
    /// In order.
    pub events: Vec<Event>,
    /// Lines of kinds that this version does not know.
    pub unknown: usize,
    /// Events that the process has overwritten since its start.
    pub overwritten: u64,
}

/// Fetches the events of a process that are later than a stamp.
///
/// `peer` is the admin address as `HOST:PORT`.
///
/// # Errors
/// If there is no complete, valid answer within 3 s.
pub async fn events(peer: &str, since: Stamp) -> Result<Timeline, Error> {
    let (headers, body) = get(peer, &format!("/events?since={since}")).await?;
    let count = headers.get(OVERWRITTEN).and_then(|value| value.to_str().ok());
    let overwritten = count.and_then(|count| count.parse().ok()).unwrap_or(0);
    let mut timeline = Timeline { overwritten, ..Timeline::default() };
    for line in body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
        let frame: Frame = serde_json::from_slice(line)
            .map_err(|error| Error::invalid(peer, &error.to_string()))?;
        match Event::try_from(frame) {
            Ok(event) => timeline.events.push(event),
            Err(Fault::Kind) => timeline.unknown += 1,
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

/// Why a process did not answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// A step failed.
    Unreachable {
        /// What was tried.
        step: &'static str,
        /// The admin address.
        peer: String,
        /// What the system says.
        reason: String,
    },
    /// No complete answer in time.
    Timeout {
        /// The admin address.
        peer: String,
    },
    /// An answer other than 200.
    Status {
        /// The admin address.
        peer: String,
        /// The HTTP status.
        status: StatusCode,
    },
    /// The answer is not what an admin endpoint sends.
    Invalid {
        /// The admin address.
        peer: String,
        /// What is wrong.
        reason: String,
    },
}

impl Error {
    /// The admin address that did not answer.
    pub fn peer(&self) -> &str {
        match self {
            Self::Unreachable { peer, .. }
            | Self::Timeout { peer }
            | Self::Status { peer, .. }
            | Self::Invalid { peer, .. } => peer,
        }
    }

    /// An invalid answer.
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
                write!(f, "{peer}: no complete answer within {} s", TIMEOUT.as_secs())
            }
            Self::Status { peer, status } => write!(f, "{peer}: answered {status}"),
            Self::Invalid { peer, reason } => {
                write!(f, "{peer}: not an admin endpoint of lentilreach: {reason}")
            }
        }
    }
}

impl std::error::Error for Error {}

/// Fetches a path within [`TIMEOUT`].
async fn get(peer: &str, path: &str) -> Result<(HeaderMap, Bytes), Error> {
    let late = async {
        Timer::after(TIMEOUT).await;
        Err(Error::Timeout { peer: peer.into() })
    };
    or(exchange(peer, path), late).await
}

/// Sends one request and reads the answer.
async fn exchange(peer: &str, path: &str) -> Result<(HeaderMap, Bytes), Error> {
    let stream = TcpStream::connect(peer).await.map_err(at("connect", peer))?;
    let (mut sender, connection) =
        http1::handshake::<_, Empty<Bytes>>(FuturesIo::new(stream))
            .await
            .map_err(at("open", peer))?;
    let request = Request::get(path)
        .header(HOST, peer)
        .body(Empty::new())
        .map_err(at("write request", peer))?;
    let answer = async {
        let response = sender.send_request(request).await.map_err(at("request", peer))?;
        let (head, body) = response.into_parts();
        if head.status != StatusCode::OK {
            return Err(Error::Status { peer: peer.into(), status: head.status });
        }
        let body = Limited::new(body, MAX_BODY).collect().await;
        Ok((head.headers, body.map_err(at("read answer", peer))?.to_bytes()))
    };
    // The connection must be driven until the answer is complete; its own end says nothing
    // that the answer does not say.
    let drive = async {
        let _ = connection.await;
        std::future::pending().await
    };
    or(answer, drive).await
}

/// Adds step and peer to an error.
fn at<E: Display>(step: &'static str, peer: &str) -> impl FnOnce(E) -> Error {
    let peer = peer.to_string();
    move |error| Error::Unreachable { step, peer, reason: error.to_string() }
}
