//! HTTP/3 client for attempts of requests on a caller's flow.

use std::time::Duration;

use async_io::Timer;
use bytes::{Buf, Bytes};
use futures_lite::future;
use h3::client::{RequestStream, SendRequest};
use h3::error::{Code, StreamError};
use http::{Method, Request, Response, StatusCode};
use lentilreach::request::rule;

use crate::payload;
use crate::tls;

/// Timeout of an attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(6);

/// Maximum delay before a retry. Keeps retries within short runs.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Sends requests on one flow.
pub struct Client {
    /// The HTTP/3 request sender.
    sender: SendRequest<h3_quinn::OpenStreams, Bytes>,
    /// Name of the requested service.
    service: &'static str,
    /// The most recent binding from the service.
    binding: Option<String>,
    /// Counter that makes idempotency keys unique.
    nonce: u64,
    /// The most recent idempotency key sent.
    last_key: Option<String>,
    /// Whether the service asked the caller to close the flow.
    closing: bool,
}

/// An attempt of a request.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Unique number of the attempt.
    pub number: u64,
    /// The request's number.
    pub request: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The idempotency key of an earlier attempt with an unknown outcome.
    pub key: Option<String>,
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// A complete response to this request.
    Answered {
        /// The backend server's number.
        backend: usize,
    },
    /// A response that is incomplete or belongs to another request.
    Mismatched,
    /// The service reports that the request has not run.
    NotRun {
        /// Delay before the next attempt.
        wait: Duration,
    },
    /// The attempt was not sent because the flow is closing.
    NotSent,
    /// The attempt was not processed because the flow is closing. Unlike [`Reply::NotRun`], this
    /// says nothing about earlier attempts with the same key.
    Rejected,
    /// An earlier attempt with the same key is still running.
    Running,
    /// An earlier attempt with the same key has run, but its response is not available.
    Done,
    /// The request may have run.
    Unknown,
}

/// The HTTP/3 stream of an attempt.
type Stream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

impl Client {
    /// Creates a client for a flow to a service.
    pub fn new(
        sender: SendRequest<h3_quinn::OpenStreams, Bytes>,
        service: &'static str,
    ) -> Self {
        Self { sender, service, binding: None, nonce: 0, last_key: None, closing: false }
    }

    /// Whether the service asked the caller to close the flow.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// The most recent idempotency key sent.
    pub fn last_key(&self) -> Option<String> {
        self.last_key.clone()
    }

    /// Makes an attempt.
    pub async fn send(&mut self, attempt: &Attempt) -> Reply {
        let timeout = async {
            Timer::after(ATTEMPT_TIMEOUT).await;
            Reply::Unknown
        };
        future::or(self.attempt_without_timeout(attempt), timeout).await
    }

    /// Makes an attempt without a timeout.
    async fn attempt_without_timeout(&mut self, attempt: &Attempt) -> Reply {
        let request = self.request(attempt);
        let mut stream = match self.sender.send_request(request).await {
            Ok(stream) => stream,
            Err(error) => return self.parse_error(&error, Reply::NotSent),
        };
        match self.receive(&mut stream, attempt).await {
            Ok(reply) => reply,
            Err(error) => self.parse_error(&error, Reply::Unknown),
        }
    }

    /// Builds the request head.
    fn request(&mut self, attempt: &Attempt) -> Request<()> {
        let method = if attempt.idempotent { Method::GET } else { Method::POST };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("https://{}/{}", tls::NAME, attempt.request))
            .header(payload::REQUEST, attempt.request)
            .header(payload::ATTEMPT, attempt.number)
            .header(payload::SERVICE, self.service);
        if !attempt.idempotent {
            let key = attempt.key.clone().or_else(|| self.new_key());
            if let Some(key) = &key {
                request = request.header(rule::IDEMPOTENCY_KEY, key);
            }
            self.last_key = key;
        }
        request.body(()).unwrap_or_default()
    }

    /// Creates an idempotency key, if there is a binding.
    fn new_key(&mut self) -> Option<String> {
        let binding = self.binding.as_ref()?;
        self.nonce += 1;
        Some(format!("{binding}.{:x}", self.nonce))
    }

    /// Receives the response.
    async fn receive(
        &mut self,
        stream: &mut Stream,
        attempt: &Attempt,
    ) -> Result<Reply, StreamError> {
        stream.finish().await?;
        let response = stream.recv_response().await?;
        let mut body = Vec::new();
        while let Some(mut data) = stream.recv_data().await? {
            while data.has_remaining() {
                let chunk = data.chunk();
                body.extend_from_slice(chunk);
                let len = chunk.len();
                data.advance(len);
            }
        }
        Ok(self.parse_response(&response, &body, attempt))
    }

    /// Converts a response to a reply.
    fn parse_response(
        &mut self,
        response: &Response<()>,
        body: &[u8],
        attempt: &Attempt,
    ) -> Reply {
        let headers = response.headers();
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        if let Some(binding) = text(rule::BINDING) {
            self.binding = Some(binding.to_string());
        }
        match text(rule::OUTCOME) {
            Some("not-run") => return Reply::NotRun { wait: retry_delay(response) },
            Some("running") => return Reply::Running,
            Some("done") => return Reply::Done,
            Some(_) => return Reply::Unknown,
            None => {}
        }
        if response.status() != StatusCode::OK {
            return Reply::Unknown;
        }
        let is_complete = body == payload::body(self.service, attempt.request);
        match payload::number(headers, payload::BACKEND) {
            Some(backend) if is_complete => Reply::Answered { backend: backend as usize },
            _ => Reply::Mismatched,
        }
    }

    /// Converts an error to a reply; `reply` is the default. A rejected stream was not
    /// processed (RFC 9114, section 4.1.1).
    fn parse_error(&mut self, error: &StreamError, reply: Reply) -> Reply {
        match error {
            StreamError::RemoteTerminate { code, .. }
                if *code == Code::H3_REQUEST_REJECTED =>
            {
                self.closing = true;
                Reply::Rejected
            }
            StreamError::RemoteClosing { .. } => {
                self.closing = true;
                Reply::NotSent
            }
            _ => reply,
        }
    }
}

/// The delay before a retry: the `retry-after` header with jitter, capped at
/// [`MAX_RETRY_DELAY`].
fn retry_delay(response: &Response<()>) -> Duration {
    let seconds = payload::number(response.headers(), "retry-after").unwrap_or(0);
    Duration::from_secs(seconds).min(MAX_RETRY_DELAY).mul_f64(0.5 + fastrand::f64() / 2.0)
}
