//! One attempt of a request on a caller's flow.

use std::time::Duration;

use async_io::Timer;
use bytes::{Buf, Bytes};
use futures_lite::future;
use h3::client::{RequestStream, SendRequest};
use h3::error::{Code, StreamError};
use http::{Method, Request, Response, StatusCode};
use lentilreach::request::rule;

use crate::tls;
use crate::work;

/// Time for one attempt.
const TIMEOUT: Duration = Duration::from_secs(6);

/// Longest time that a caller waits after a refusal.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Sends requests on one flow.
pub struct Exchange {
    /// Sends requests.
    sender: SendRequest<h3_quinn::OpenStreams, Bytes>,
    /// The service that the caller means.
    service: &'static str,
    /// The last binding that the service gave.
    binding: Option<String>,
    /// Makes idempotency keys distinct.
    nonce: u64,
    /// The last key sent.
    last_key: Option<String>,
    /// Whether the service asked the caller to leave.
    closing: bool,
}

/// An attempt of a request.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Distinguishes attempts.
    pub number: u64,
    /// The request's number.
    pub request: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The key that the request may have run under before.
    pub key: Option<String>,
}

/// What became of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// A whole answer to this request.
    Answered {
        /// The backend server's number.
        backend: usize,
    },
    /// An answer that is not whole or not to this request.
    Mismatched,
    /// The service says that it has not run.
    NotRun {
        /// When to try again.
        wait: Duration,
    },
    /// It was not sent, since the flow is closing.
    NotSent,
    /// It is running under its key.
    Running,
    /// It has run; the answer is not to be had.
    Done,
    /// It may have run.
    Unknown,
}

/// A stream on which an attempt is made.
type Stream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

impl Exchange {
    /// Exchanges on a flow to a service.
    pub fn new(
        sender: SendRequest<h3_quinn::OpenStreams, Bytes>,
        service: &'static str,
    ) -> Self {
        Self { sender, service, binding: None, nonce: 0, last_key: None, closing: false }
    }

    /// Whether the service asked the caller to leave.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// The last idempotency key sent.
    pub fn last_key(&self) -> Option<String> {
        self.last_key.clone()
    }

    /// Makes one attempt.
    pub async fn send(&mut self, attempt: &Attempt) -> Reply {
        let timeout = async {
            Timer::after(TIMEOUT).await;
            Reply::Unknown
        };
        future::or(self.exchange(attempt), timeout).await
    }

    /// Makes one attempt without a limit of time.
    async fn exchange(&mut self, attempt: &Attempt) -> Reply {
        let request = self.request(attempt);
        let mut stream = match self.sender.send_request(request).await {
            Ok(stream) => stream,
            Err(error) => return self.fail(&error, Reply::NotSent),
        };
        match self.receive(&mut stream, attempt).await {
            Ok(reply) => reply,
            Err(error) => self.fail(&error, Reply::Unknown),
        }
    }

    /// The head of a request.
    fn request(&mut self, attempt: &Attempt) -> Request<()> {
        let method = if attempt.idempotent { Method::GET } else { Method::POST };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("https://{}/{}", tls::NAME, attempt.request))
            .header(work::REQUEST, attempt.request)
            .header(work::ATTEMPT, attempt.number)
            .header(work::SERVICE, self.service);
        if !attempt.idempotent {
            let key = attempt.key.clone().or_else(|| self.new_key());
            if let Some(key) = &key {
                request = request.header(rule::IDEMPOTENCY_KEY, key);
            }
            self.last_key = key;
        }
        request.body(()).unwrap_or_default()
    }

    /// A new idempotency key, if there is a binding.
    fn new_key(&mut self) -> Option<String> {
        let binding = self.binding.as_ref()?;
        self.nonce += 1;
        Some(format!("{binding}.{:x}", self.nonce))
    }

    /// Receives the answer.
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
        Ok(self.judge(&response, &body, attempt))
    }

    /// Reads what an answer says.
    fn judge(
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
            Some("not-run") => return Reply::NotRun { wait: wait(response) },
            Some("running") => return Reply::Running,
            Some("done") => return Reply::Done,
            Some(_) => return Reply::Unknown,
            None => {}
        }
        if response.status() != StatusCode::OK {
            return Reply::Unknown;
        }
        let whole = body == work::body(self.service, attempt.request);
        match work::number(headers, work::BACKEND) {
            Some(backend) if whole => Reply::Answered { backend: backend as usize },
            _ => Reply::Mismatched,
        }
    }

    /// Reads what an error says. A rejected stream was not processed (RFC 9114, section
    /// 4.1.1).
    fn fail(&mut self, error: &StreamError, reply: Reply) -> Reply {
        match error {
            StreamError::RemoteTerminate { code, .. }
                if *code == Code::H3_REQUEST_REJECTED =>
            {
                self.closing = true;
                Reply::NotRun { wait: Duration::ZERO }
            }
            StreamError::RemoteClosing { .. } => {
                self.closing = true;
                Reply::NotSent
            }
            _ => reply,
        }
    }
}

/// When to try again. Half a second at most, so that short runs see the second try.
fn wait(response: &Response<()>) -> Duration {
    let seconds = work::number(response.headers(), "retry-after").unwrap_or(0);
    Duration::from_secs(seconds).min(MAX_WAIT).mul_f64(0.5 + fastrand::f64() / 2.0)
}
