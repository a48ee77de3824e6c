//! One HTTP exchange: from a caller's request to its answer.

use std::future::Future;
use std::io;
use std::time::Duration;

use async_io::Timer;
use bytes::{Buf, Bytes};
use futures_lite::future;
use h3::server::RequestStream;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::process::clock::Millis;
use crate::process::context::{Claim, Context};
use crate::process::ledger::{Answer, MAX_ANSWER};
use crate::process::link::Link;
use crate::process::name::Name;
use crate::process::slot::{Permit, Refusal};
use crate::request::admit::End;
use crate::request::rule::{self, Outcome};

/// The stream of one request on a caller's connection.
pub type Stream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// Sends requests to the backend server.
pub trait Upstream: Clone + Send + Sync + 'static {
    /// A connection reserved for one request.
    type Lease: Send;

    /// Reserves a connection, opening one if need be. No byte of a request is sent.
    fn lease(&self) -> impl Future<Output = io::Result<Self::Lease>> + Send;

    /// Sends a request and waits for the head of the answer.
    fn call(
        lease: &mut Self::Lease,
        request: Request<Full<Bytes>>,
    ) -> impl Future<Output = Result<Response<Incoming>, hyper::Error>> + Send;
}

/// Why an exchange ended without a whole answer to the caller.
#[derive(Debug)]
pub enum Error {
    /// The caller went away or broke the protocol.
    Caller(h3::error::StreamError),
    /// The backend server cut its answer short.
    Backend(hyper::Error),
}

impl From<h3::error::StreamError> for Error {
    fn from(error: h3::error::StreamError) -> Self {
        Self::Caller(error)
    }
}

/// Serves one request.
///
/// # Errors
/// If the caller did not get a whole answer; its stream is reset then.
pub async fn serve<U: Upstream, L: Link>(
    context: &Context<U, L>,
    request: Request<()>,
    stream: &mut Stream,
) -> Result<(), Error> {
    let Some(body) = receive(stream).await? else {
        return refuse(context, stream, StatusCode::PAYLOAD_TOO_LARGE, None).await;
    };
    let (head, ()) = request.into_parts();
    let limit = rule::deadline_ms(&head.headers, context.deadline_ms());
    let deadline = context.now().after(limit);
    if rule::is_idempotent(&head.method) {
        let request = outgoing(&head, body, limit);
        return run(context, request, deadline, stream).await;
    }
    match context.claim(&head.headers).await {
        Claim::Run(key) => {
            let request = outgoing(&head, body, limit);
            let answer = run_once(context, request, deadline).await;
            context.settle(&key, &answer);
            tell(context, stream, answer).await
        }
        Claim::Answered(answer) => {
            tell(context, stream, Completion::Answered(answer)).await
        }
        Claim::Told(status, outcome) => say(context, stream, status, outcome, None).await,
    }
}

/// How a non-idempotent request ended.
#[derive(Debug, Clone)]
pub enum Completion {
    /// With an answer.
    Answered(Answer),
    /// Before any byte of it went to the backend server.
    NotRun(Refusal),
    /// Without a whole answer after a byte had gone.
    Unknown,
}

/// Runs an idempotent request and streams the answer through.
async fn run<U: Upstream, L: Link>(
    context: &Context<U, L>,
    request: Request<Full<Bytes>>,
    deadline: Millis,
    stream: &mut Stream,
) -> Result<(), Error> {
    let permit = match context.slots().enter(deadline).await {
        Ok(permit) => permit,
        Err(refusal) => {
            let retry = Some(refusal.retry_after_ms);
            return refuse(context, stream, StatusCode::SERVICE_UNAVAILABLE, retry).await;
        }
    };
    let started = context.now();
    let Ok(mut lease) = context.upstream().lease().await else {
        permit.finish(End::Refused);
        return refuse(context, stream, StatusCode::SERVICE_UNAVAILABLE, Some(1_000))
            .await;
    };
    let answer = within(context, deadline, U::call(&mut lease, request)).await;
    let Some(Ok(answer)) = answer else {
        permit.finish(End::Failed);
        let status = StatusCode::BAD_GATEWAY;
        return say(context, stream, status, Outcome::Unknown, None).await;
    };
    pass(context, answer, started, permit, stream).await
}

/// Passes an answer on to the caller while it arrives.
async fn pass<U: Upstream, L: Link>(
    context: &Context<U, L>,
    answer: Response<Incoming>,
    started: Millis,
    permit: Permit,
    stream: &mut Stream,
) -> Result<(), Error> {
    let (mut head, mut body) = answer.into_parts();
    let shed = head.status == StatusCode::SERVICE_UNAVAILABLE;
    let took_ms = context.now().since(started);
    strip(&mut head.headers);
    context.bind(&mut head.headers);
    stream.send_response(Response::from_parts(head, ())).await?;
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => {
                permit.finish(End::Failed);
                stream.stop_stream(h3::error::Code::H3_INTERNAL_ERROR);
                return Err(Error::Backend(error));
            }
        };
        if let Ok(data) = frame.into_data() {
            stream.send_data(data).await?;
        }
    }
    permit.finish(if shed { End::Refused } else { End::Answered { took_ms } });
    Ok(stream.finish().await?)
}

/// Runs a non-idempotent request. Nothing in here sends it a second time.
async fn run_once<U: Upstream, L: Link>(
    context: &Context<U, L>,
    request: Request<Full<Bytes>>,
    deadline: Millis,
) -> Completion {
    let permit = match context.slots().enter(deadline).await {
        Ok(permit) => permit,
        Err(refusal) => return Completion::NotRun(refusal),
    };
    let started = context.now();
    let Ok(mut lease) = context.upstream().lease().await else {
        permit.finish(End::Refused);
        return Completion::NotRun(Refusal::backend_server());
    };
    let Some(Ok(answer)) = within(context, deadline, U::call(&mut lease, request)).await
    else {
        permit.finish(End::Failed);
        return Completion::Unknown;
    };
    let (mut head, body) = answer.into_parts();
    // A backend server that sheds load says 503. That is passed on as its answer: bytes
    // have gone to it, so this side must not say that the request did not run.
    let shed = head.status == StatusCode::SERVICE_UNAVAILABLE;
    let body = http_body_util::Limited::new(body, MAX_ANSWER).collect().await;
    let Ok(body) = body else {
        permit.finish(End::Failed);
        return Completion::Unknown;
    };
    let took_ms = context.now().since(started);
    permit.finish(if shed { End::Refused } else { End::Answered { took_ms } });
    strip(&mut head.headers);
    Completion::Answered(Answer {
        status: head.status.as_u16(),
        headers: flatten(&head.headers),
        body: body.to_bytes(),
    })
}

/// Sends the end of a non-idempotent request to the caller.
async fn tell<U: Upstream, L: Link>(
    context: &Context<U, L>,
    stream: &mut Stream,
    end: Completion,
) -> Result<(), Error> {
    match end {
        Completion::Answered(answer) => {
            let mut response = Response::new(());
            *response.status_mut() =
                StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            *response.headers_mut() = unflatten(&answer.headers);
            context.bind(response.headers_mut());
            stream.send_response(response).await?;
            stream.send_data(answer.body.clone()).await?;
            Ok(stream.finish().await?)
        }
        Completion::NotRun(refusal) => {
            let retry = Some(refusal.retry_after_ms);
            refuse(context, stream, StatusCode::SERVICE_UNAVAILABLE, retry).await
        }
        Completion::Unknown => {
            say(context, stream, StatusCode::BAD_GATEWAY, Outcome::Unknown, None).await
        }
    }
}

/// Tells the caller that its request was not run.
async fn refuse<U: Upstream, L: Link>(
    context: &Context<U, L>,
    stream: &mut Stream,
    status: StatusCode,
    retry_after_ms: Option<u64>,
) -> Result<(), Error> {
    say(context, stream, status, Outcome::NotRun, retry_after_ms).await
}

/// Sends an answer of our own, without a body.
async fn say<U: Upstream, L: Link>(
    context: &Context<U, L>,
    stream: &mut Stream,
    status: StatusCode,
    outcome: Outcome,
    retry_after_ms: Option<u64>,
) -> Result<(), Error> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(rule::OUTCOME, HeaderValue::from_static(outcome.as_str()));
    if let Some(ms) = retry_after_ms {
        // The field counts whole seconds (RFC 9110, section 10.2.3).
        headers.insert(http::header::RETRY_AFTER, HeaderValue::from(ms.div_ceil(1_000)));
    }
    context.bind(headers);
    stream.send_response(response).await?;
    Ok(stream.finish().await?)
}

/// Receives the body of a request; `None` if it is too large.
async fn receive(stream: &mut Stream) -> Result<Option<Bytes>, Error> {
    let mut body = Vec::new();
    while let Some(mut data) = stream.recv_data().await? {
        if body.len() + data.remaining() > rule::MAX_BODY {
            return Ok(None);
        }
        while data.has_remaining() {
            let chunk = data.chunk();
            body.extend_from_slice(chunk);
            let len = chunk.len();
            data.advance(len);
        }
    }
    Ok(Some(body.into()))
}

/// The request as the backend server gets it.
fn outgoing(
    head: &http::request::Parts,
    body: Bytes,
    limit: u64,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = head.method.clone();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    *request.uri_mut() = path.parse().unwrap_or_default();
    *request.headers_mut() = head.headers.clone();
    strip(request.headers_mut());
    if let Some(host) = head.uri.authority()
        && let Ok(host) = HeaderValue::from_str(host.as_str())
    {
        request.headers_mut().insert(http::header::HOST, host);
    }
    request.headers_mut().insert(rule::DEADLINE, HeaderValue::from(limit));
    request
}

/// Headers in the form in which the ledger holds them.
fn flatten(headers: &HeaderMap) -> Vec<(Name, Bytes)> {
    let pairs = headers.iter();
    pairs
        .map(|(n, v)| (n.as_str().into(), Bytes::copy_from_slice(v.as_bytes())))
        .collect()
}

/// Headers as HTTP has them; those that do not parse are left out.
fn unflatten(headers: &[(Name, Bytes)]) -> HeaderMap {
    let parsed = headers.iter().filter_map(|(name, value)| {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(value).ok()?))
    });
    parsed.collect()
}

/// Removes headers that are about one connection.
fn strip(headers: &mut HeaderMap) {
    let names: Vec<_> =
        headers.keys().filter(|name| rule::is_hop_by_hop(name)).cloned().collect();
    for name in names {
        headers.remove(name);
    }
}

/// Waits for a future until the deadline; `None` if it passes.
async fn within<U: Upstream, L: Link, T>(
    context: &Context<U, L>,
    deadline: Millis,
    future: impl Future<Output = T>,
) -> Option<T> {
    let left = Duration::from_millis(deadline.since(context.now()));
    let timeout = async {
        Timer::after(left).await;
        None
    };
    future::or(async { Some(future.await) }, timeout).await
}
