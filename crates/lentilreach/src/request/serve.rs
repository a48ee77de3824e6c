//! Serves one HTTP request: from the caller's request to the response.

use std::future::Future;
use std::io;
use std::time::{Duration, Instant};

use async_io::Timer;
use bytes::{Buf, Bytes};
use futures_lite::future;
use h3::server::RequestStream;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::process::clock::Millis;
use crate::process::context::{Claim, Context};
use crate::process::ledger::{MAX_RESPONSE_BYTES, StoredResponse};
use crate::process::link::Link;
use crate::process::name::Name;
use crate::process::slot::{Permit, Refusal};
use crate::request::admit::End;
use crate::request::rule::{self, Outcome};

/// The stream of one request on a caller's connection.
pub type Stream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// A client for the backend server.
pub trait Upstream: Clone + Send + Sync + 'static {
    /// A connection reserved for one request.
    type Lease: Send;

    /// Reserves a connection and opens one if needed. Sends no part of a request.
    fn lease(&self) -> impl Future<Output = io::Result<Self::Lease>> + Send;

    /// Sends a request and waits for the head of the response.
    fn call(
        lease: &mut Self::Lease,
        request: Request<Full<Bytes>>,
    ) -> impl Future<Output = Result<Response<Incoming>, hyper::Error>> + Send;
}

/// Why a caller did not receive a complete response.
#[derive(Debug)]
pub enum Error {
    /// The caller disconnected or violated the protocol.
    Caller(h3::error::StreamError),
    /// The backend server ended its response early.
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
/// If the caller did not receive a complete response; its stream is then reset.
pub async fn serve<U: Upstream, L: Link>(
    context: &Context<U, L>,
    request: Request<()>,
    stream: &mut Stream,
) -> Result<(), Error> {
    let Some(body) = receive(stream).await? else {
        return send_not_run(context, stream, StatusCode::PAYLOAD_TOO_LARGE, None).await;
    };
    let (head, ()) = request.into_parts();
    let limit_ms = rule::deadline_ms(&head.headers, context.deadline_ms());
    let deadline = context.now().after(limit_ms);
    if rule::is_idempotent(&head.method) {
        let request = upstream_request(&head, body, limit_ms);
        return run_idempotent(context, request, deadline, stream).await;
    }
    match context.claim(&head.headers).await {
        Claim::Run(key) => {
            let request = upstream_request(&head, body, limit_ms);
            let completion = run_once(context, request, deadline).await;
            context.record_outcome(&key, &completion);
            send_completion(context, stream, completion).await
        }
        Claim::Replay(response) => {
            send_completion(context, stream, Completion::Answered(response)).await
        }
        Claim::Respond(status, outcome) => {
            send_outcome(context, stream, status, outcome, None).await
        }
    }
}

/// How a non-idempotent request ended.
#[derive(Debug, Clone)]
pub enum Completion {
    /// With a complete response.
    Answered(StoredResponse),
    /// Before any byte of it was sent to the backend server.
    NotRun(Refusal),
    /// Without a complete response after at least one byte was sent.
    Unknown,
}

/// Runs an idempotent request and streams the response to the caller.
async fn run_idempotent<U: Upstream, L: Link>(
    context: &Context<U, L>,
    request: Request<Full<Bytes>>,
    deadline: Millis,
    stream: &mut Stream,
) -> Result<(), Error> {
    let permit = match context.slots().acquire(deadline).await {
        Ok(permit) => permit,
        Err(refusal) => {
            let retry_after_ms = Some(refusal.retry_after_ms);
            return send_not_run(
                context,
                stream,
                StatusCode::SERVICE_UNAVAILABLE,
                retry_after_ms,
            )
            .await;
        }
    };
    let started = context.now();
    let Ok(mut lease) = context.upstream().lease().await else {
        permit.finish(End::Refused);
        return send_not_run(
            context,
            stream,
            StatusCode::SERVICE_UNAVAILABLE,
            Some(1_000),
        )
        .await;
    };
    let response = before_deadline(context, deadline, U::call(&mut lease, request)).await;
    let Some(Ok(response)) = response else {
        permit.finish(End::Failed);
        let status = StatusCode::BAD_GATEWAY;
        return send_outcome(context, stream, status, Outcome::Unknown, None).await;
    };
    stream_response(context, response, started, permit, stream).await
}

/// Streams a response to the caller as it arrives.
async fn stream_response<U: Upstream, L: Link>(
    context: &Context<U, L>,
    response: Response<Incoming>,
    started: Millis,
    permit: Permit,
    stream: &mut Stream,
) -> Result<(), Error> {
    let (mut head, mut body) = response.into_parts();
    let is_shed = head.status == StatusCode::SERVICE_UNAVAILABLE;
    let took_ms = context.now().since(started);
    remove_hop_by_hop(&mut head.headers);
    context.insert_binding(&mut head.headers);
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
    permit.finish(if is_shed { End::Refused } else { End::Answered { took_ms } });
    Ok(stream.finish().await?)
}

/// Runs a non-idempotent request. It is sent to the backend server at most once.
async fn run_once<U: Upstream, L: Link>(
    context: &Context<U, L>,
    request: Request<Full<Bytes>>,
    deadline: Millis,
) -> Completion {
    let permit = match context.slots().acquire(deadline).await {
        Ok(permit) => permit,
        Err(refusal) => return Completion::NotRun(refusal),
    };
    let started = context.now();
    let Ok(mut lease) = context.upstream().lease().await else {
        permit.finish(End::Refused);
        return Completion::NotRun(Refusal::connection_refused());
    };
    let exchange = exchange::<U>(&mut lease, request);
    let Some(Some((mut head, body))) = before_deadline(context, deadline, exchange).await
    else {
        permit.finish(End::Failed);
        return Completion::Unknown;
    };
    // A backend server that sheds load responds 503. The response is passed on as it is: part
    // of the request was sent, so the caller must not be told that it did not run.
    let is_shed = head.status == StatusCode::SERVICE_UNAVAILABLE;
    let took_ms = context.now().since(started);
    permit.finish(if is_shed { End::Refused } else { End::Answered { took_ms } });
    remove_hop_by_hop(&mut head.headers);
    Completion::Answered(StoredResponse {
        status: head.status.as_u16(),
        headers: to_pairs(&head.headers),
        body,
    })
}

/// Sends a request and receives the complete response; `None` if there is none or it is too
/// large to be stored.
async fn exchange<U: Upstream>(
    lease: &mut U::Lease,
    request: Request<Full<Bytes>>,
) -> Option<(http::response::Parts, Bytes)> {
    let (head, body) = U::call(lease, request).await.ok()?.into_parts();
    let body = http_body_util::Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    Some((head, body.ok()?.to_bytes()))
}

/// Sends the result of a non-idempotent request to the caller.
async fn send_completion<U: Upstream, L: Link>(
    context: &Context<U, L>,
    stream: &mut Stream,
    completion: Completion,
) -> Result<(), Error> {
    match completion {
        Completion::Answered(stored) => {
            let mut response = Response::new(());
            *response.status_mut() =
                StatusCode::from_u16(stored.status).unwrap_or(StatusCode::BAD_GATEWAY);
            *response.headers_mut() = from_pairs(&stored.headers);
            context.insert_binding(response.headers_mut());
            stream.send_response(response).await?;
            stream.send_data(stored.body.clone()).await?;
            Ok(stream.finish().await?)
        }
        Completion::NotRun(refusal) => {
            let retry_after_ms = Some(refusal.retry_after_ms);
            send_not_run(context, stream, StatusCode::SERVICE_UNAVAILABLE, retry_after_ms)
                .await
        }
        Completion::Unknown => {
            send_outcome(context, stream, StatusCode::BAD_GATEWAY, Outcome::Unknown, None)
                .await
        }
    }
}

/// Tells the caller that its request did not run.
async fn send_not_run<U: Upstream, L: Link>(
    context: &Context<U, L>,
    stream: &mut Stream,
    status: StatusCode,
    retry_after_ms: Option<u64>,
) -> Result<(), Error> {
    send_outcome(context, stream, status, Outcome::NotRun, retry_after_ms).await
}

/// Sends a response generated by the agent, without a body.
async fn send_outcome<U: Upstream, L: Link>(
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
        // `Retry-After` is in whole seconds (RFC 9110, section 10.2.3).
        headers.insert(http::header::RETRY_AFTER, HeaderValue::from(ms.div_ceil(1_000)));
    }
    context.insert_binding(headers);
    stream.send_response(response).await?;
    Ok(stream.finish().await?)
}

/// Receives the body of a request; `None` if it is too large.
async fn receive(stream: &mut Stream) -> Result<Option<Bytes>, Error> {
    let mut body = Vec::new();
    while let Some(mut data) = stream.recv_data().await? {
        if body.len() + data.remaining() > rule::MAX_BODY_BYTES {
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

/// Builds the request to the backend server.
fn upstream_request(
    head: &http::request::Parts,
    body: Bytes,
    limit_ms: u64,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = head.method.clone();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    *request.uri_mut() = path.parse().unwrap_or_default();
    *request.headers_mut() = head.headers.clone();
    remove_hop_by_hop(request.headers_mut());
    if let Some(host) = head.uri.authority()
        && let Ok(host) = HeaderValue::from_str(host.as_str())
    {
        request.headers_mut().insert(http::header::HOST, host);
    }
    request.headers_mut().insert(rule::DEADLINE, HeaderValue::from(limit_ms));
    request
}

/// Converts headers to the form that the ledger stores.
fn to_pairs(headers: &HeaderMap) -> Vec<(Name, Bytes)> {
    let pairs = headers.iter();
    pairs
        .map(|(n, v)| (n.as_str().into(), Bytes::copy_from_slice(v.as_bytes())))
        .collect()
}

/// Converts stored headers to a header map; skips those that are invalid.
fn from_pairs(headers: &[(Name, Bytes)]) -> HeaderMap {
    let parsed = headers.iter().filter_map(|(name, value)| {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(value).ok()?))
    });
    parsed.collect()
}

/// Removes hop-by-hop headers.
fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let names: Vec<_> =
        headers.keys().filter(|name| rule::is_hop_by_hop(name)).cloned().collect();
    for name in names {
        headers.remove(name);
    }
}

/// Time to handle what arrived while the process stood still. Also the delay of a timer above
/// which it is assumed to have stood still.
const PAUSE_GRACE: Duration = Duration::from_millis(100);

/// Waits for a future until the deadline; `None` if the deadline passes first.
///
/// After a pause of the process, its timers and its sockets are ready together, and the result
/// may be waiting in a socket. A deadline that is noticed late is therefore no evidence that
/// there is no result.
async fn before_deadline<U: Upstream, L: Link, T>(
    context: &Context<U, L>,
    deadline: Millis,
    future: impl Future<Output = T>,
) -> Option<T> {
    let remaining = Duration::from_millis(deadline.since(context.now()));
    let timeout = async {
        let due = Timer::after(remaining).await + PAUSE_GRACE;
        if Instant::now() >= due {
            Timer::after(PAUSE_GRACE).await;
        }
        None
    };
    future::or(async { Some(future.await) }, timeout).await
}
