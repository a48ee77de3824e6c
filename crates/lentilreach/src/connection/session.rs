//! One caller's HTTP/3 connection.

use std::sync::Arc;
use std::time::Instant;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use h3::server::RequestResolver;
use smol::Task;

use crate::process::context::Context;
use crate::process::leave::Leave;
use crate::process::link::Link;
use crate::process::pool::Pool;
use crate::request::serve::{Error, Upstream, serve};

/// How a session ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The caller closed the connection or went away.
    Caller,
    /// The agent drained and all requests were done.
    Drained,
}

/// A caller's HTTP/3 connection on the server side.
type Connection = h3::server::Connection<h3_quinn::Connection, Bytes>;

/// Serves the requests of a connection until it ends.
///
/// `leave` is the drain of the service; the drain of the process has the same effect.
pub async fn run<U: Upstream, L: Link>(
    pool: &Pool,
    context: Arc<Context<U, L>>,
    leave: &Leave,
    connection: quinn::Connection,
) -> End {
    let quic = connection.clone();
    let wrapped = h3_quinn::Connection::new(connection);
    let Ok(mut session) = Connection::new(wrapped).await else { return End::Caller };
    let mut requests: Vec<Task<()>> = Vec::new();
    let mut limit = None;
    loop {
        match next(&context, leave, &mut session, limit).await {
            Next::Request(resolver) => {
                requests.retain(|task| !task.is_finished());
                requests.push(pool.spawn(answer(context.clone(), *resolver)));
            }
            Next::Leave => {
                // GOAWAY tells the caller to open a new flow. One request more may be under
                // way; the gate refuses it as not run.
                if session.shutdown(1).await.is_err() {
                    return End::Caller;
                }
                limit = Some(Instant::now() + context.leave_limit());
            }
            Next::End => break,
            Next::Expired => return close(&quic),
        }
    }
    let Some(limit) = limit.filter(|_| quic.close_reason().is_none()) else {
        detach(requests);
        return End::Caller;
    };
    // The caller closes once it has all answers. Closing first could cut an answer that is
    // still being acknowledged.
    future::or(expire(Some(limit)), settled(requests, &quic)).await;
    close(&quic)
}

/// Closes a connection whose drain is over.
fn close(quic: &quinn::Connection) -> End {
    let code = h3::error::Code::H3_NO_ERROR.value();
    quic.close(code.try_into().unwrap_or_default(), b"");
    End::Drained
}

/// Waits until all requests are done and the caller has closed the connection.
async fn settled(requests: Vec<Task<()>>, quic: &quinn::Connection) {
    for request in requests {
        request.await;
    }
    quic.closed().await;
}

/// What a session does next.
enum Next {
    /// Serve a request.
    Request(Box<RequestResolver<h3_quinn::Connection, Bytes>>),
    /// Tell the caller to leave.
    Leave,
    /// No request will come any more.
    End,
    /// The limit of the drain has passed.
    Expired,
}

/// Waits for a request, the drain or its limit, or the end of the connection.
async fn next<U: Upstream, L: Link>(
    context: &Context<U, L>,
    leave: &Leave,
    session: &mut Connection,
    limit: Option<Instant>,
) -> Next {
    let request = async {
        match session.accept().await {
            Ok(Some(resolver)) => Next::Request(Box::new(resolver)),
            Ok(None) | Err(_) => Next::End,
        }
    };
    let leave = async {
        if limit.is_some() {
            expire(limit).await;
            return Next::Expired;
        }
        future::or(context.leave().wait(), leave.wait()).await;
        Next::Leave
    };
    future::or(request, leave).await
}

/// Waits for a point in time; for ever without one.
async fn expire(at: Option<Instant>) {
    match at {
        Some(at) => {
            Timer::at(at).await;
        }
        None => future::pending().await,
    }
}

/// Lets requests run on without their caller, since one that has started must be recorded.
fn detach(requests: Vec<Task<()>>) {
    for request in requests {
        request.detach();
    }
}

/// Serves one request.
async fn answer<U: Upstream, L: Link>(
    context: Arc<Context<U, L>>,
    resolver: RequestResolver<h3_quinn::Connection, Bytes>,
) {
    let Ok((request, mut stream)) = resolver.resolve_request().await else { return };
    match serve(&context, request, &mut stream).await {
        Ok(()) => {}
        Err(Error::Caller(error)) => log::trace!("step=answer peer=caller {error}"),
        Err(Error::Backend(error)) => log::debug!("step=answer peer=backend {error}"),
    }
}
