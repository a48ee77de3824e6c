//! The admin endpoint: metrics, liveness, readiness, events and status over HTTP/1.1.
//!
//! [`Admin::answer`] handles a request without I/O; [`server`] is the front end.

pub mod fetch;
pub mod server;
pub mod status;
pub mod wire;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use http::{Method, StatusCode, Uri};
use metrics_exporter_prometheus::PrometheusHandle;

use crate::process::clock::Stamp;
use crate::process::event::Recorder;
use crate::process::event::wire::Frame;

pub use fetch::Error;
pub use server::{Handler, Server};
pub use status::Status;

/// Default listen address of the endpoint.
pub const DEFAULT_ADDRESS: SocketAddr =
    SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9_464));

/// Response header with the number of events overwritten since the process start.
pub const OVERWRITTEN_HEADER: &str = "lentilreach-events-overwritten";

/// Provides the readiness and the status of a daemon.
pub trait Source: Send + Sync + 'static {
    /// Checks whether the process is ready for traffic: a configuration is in force, and
    /// the process is not stopping.
    ///
    /// # Errors
    /// The reason why it is not ready, as one sentence for operators.
    fn ready(&self) -> Result<(), String>;

    /// The state of the process, and its view of others.
    fn status(&self) -> Status;
}

/// Answers requests to the admin endpoint of a process.
#[derive(Debug)]
pub struct Admin<S> {
    /// Provides readiness and status.
    source: S,
    /// Provides the events.
    recorder: Recorder,
    /// Renders the metrics.
    metrics: PrometheusHandle,
}

impl<S: Source> Admin<S> {
    /// Creates the endpoint.
    pub fn new(source: S, recorder: Recorder, metrics: PrometheusHandle) -> Self {
        Self { source, recorder, metrics }
    }

    /// Answers one request. Its body is ignored.
    pub fn answer(&self, method: &Method, uri: &Uri) -> Reply {
        if !matches!(*method, Method::GET | Method::HEAD) {
            return Reply::text(StatusCode::METHOD_NOT_ALLOWED, "use GET or HEAD\n");
        }
        match uri.path() {
            "/metrics" => Reply::metrics(self.metrics.render()),
            "/live" => Reply::text(StatusCode::OK, "live\n"),
            "/ready" => self.ready(),
            "/events" => self.events(uri.query().unwrap_or_default()),
            "/status" => self.status(),
            _ => Reply::text(
                StatusCode::NOT_FOUND,
                "there are /metrics, /live, /ready, /events?since=STAMP and /status\n",
            ),
        }
    }

    /// Answers a readiness check.
    fn ready(&self) -> Reply {
        match self.source.ready() {
            Ok(()) => Reply::text(StatusCode::OK, "ready\n"),
            Err(reason) => {
                Reply::text(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n"))
            }
        }
    }

    /// Lists the events later than the stamp in the query, one JSON object per line.
    fn events(&self, query: &str) -> Reply {
        let since = match parse_since(query) {
            Ok(since) => since,
            Err(fault) => return Reply::text(StatusCode::BAD_REQUEST, fault),
        };
        // The counter is read before the events. An event that is overwritten in between
        // is then missing but not counted until the next answer. In the reverse order, an
        // event could be sent and also counted as overwritten.
        let overwritten = self.recorder.overwritten();
        let mut body = String::new();
        for event in self.recorder.since(since) {
            let line = serde_json::to_string(&Frame::from(&event));
            body.push_str(&line.expect("a frame has string keys only"));
            body.push('\n');
        }
        Reply {
            overwritten: Some(overwritten),
            ..Reply::new(ContentType::JsonLines, body)
        }
    }

    /// Returns the status as JSON.
    fn status(&self) -> Reply {
        let unready = self.source.ready().err();
        let status = wire::Status::new(&self.source.status(), unready);
        let body = serde_json::to_string(&status).expect("a status has string keys only");
        Reply::json(body + "\n")
    }
}

/// An HTTP response before its encoding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Content type of the body.
    pub content_type: ContentType,
    /// Value of the header [`OVERWRITTEN_HEADER`], if there is one.
    pub overwritten: Option<u64>,
    /// Body of the response.
    pub body: String,
}

impl Reply {
    /// Creates a response with status 200.
    fn new(content_type: ContentType, body: String) -> Self {
        Self { status: StatusCode::OK, content_type, overwritten: None, body }
    }

    /// Creates a response with metrics.
    pub fn metrics(body: String) -> Self {
        Self::new(ContentType::Metrics, body)
    }

    /// Creates a response with a JSON object.
    pub fn json(body: impl Into<String>) -> Self {
        Self::new(ContentType::Json, body.into())
    }

    /// Creates a response in plain text.
    pub fn text(status: StatusCode, body: impl Into<String>) -> Self {
        Self { status, ..Self::new(ContentType::Text, body.into()) }
    }
}

/// Content type of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContentType {
    /// Plain text.
    Text,
    /// Prometheus text format.
    Metrics,
    /// JSON objects, one per line.
    JsonLines,
    /// One JSON object.
    Json,
}

impl ContentType {
    /// The value of the header `content-type`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Text => "text/plain; charset=utf-8",
            Self::Metrics => "text/plain; version=0.0.4; charset=utf-8",
            Self::JsonLines => "application/x-ndjson",
            Self::Json => "application/json",
        }
    }
}

/// Parses the parameter `since`. Without it, returns the stamp before all events.
fn parse_since(query: &str) -> Result<Stamp, String> {
    let mut since = Stamp::default();
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        match pair.split_once('=') {
            Some(("since", value)) => {
                since = value.parse().map_err(|fault| format!("since: {fault}\n"))?;
            }
            _ => return Err("the only parameter is since=STAMP\n".into()),
        }
    }
    Ok(since)
}
