//! Serves one HTTP/3 connection of a caller.

use std::sync::Arc;
use std::time::Instant;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use h3::server::RequestResolver;
use smol::Task;

use crate::process::context::Context;
use crate::process::drain::Drain;
use crate::process::link::Link;
use crate::process::pool::Pool;
use crate::request::serve::{Error, Upstream, serve};

/// How a session ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The caller closed the connection or disconnected.
    Caller,
    /// The agent drained and all requests were complete.
    Drained,
}

/// The server side of a caller's HTTP/3 connection.
type Connection = h3::server::Connection<h3_quinn::Connection, Bytes>;

/// Serves the requests of a connection until it ends.
///
/// `drain` is the drain signal of the service; a drain of the process has the same effect.
pub async fn run<U: Upstream, L: Link>(
    pool: &Pool,
    context: Arc<Context<U, L>>,
    drain: &Drain,
    connection: quinn::Connection,
) -> End {
    let quic = connection.clone();
    let wrapped = h3_quinn::Connection::new(connection);
    let Ok(mut session) = Connection::new(wrapped).await else { return End::Caller };
    let mut requests = Requests::default();
    let mut deadline = None;
    loop {
        match next(&context, drain, &mut session, deadline).await {
            // Its GOAWAY has told the caller that this request is rejected.
            Event::Request(resolver) if deadline.is_some() => {
                requests.push(pool.spawn(reject(*resolver)));
            }
            Event::Request(resolver) => {
                requests.push(pool.spawn(serve_request(context.clone(), *resolver)));
            }
            Event::Drain => {
                // GOAWAY tells the caller to open a new flow. It names the first request that
                // is rejected: with 0, that would be the last one that was accepted.
                if session.shutdown(1).await.is_err() {
                    return End::Caller;
                }
                deadline = Some(Instant::now() + context.drain_timeout());
            }
            Event::End => break,
            Event::Expired => {
                close(&quic);
                return End::Drained;
            }
        }
    }
    if quic.close_reason().is_some() {
        return End::Caller;
    }
    let end = if deadline.is_some() { End::Drained } else { End::Caller };
    let deadline = deadline.unwrap_or_else(|| Instant::now() + context.drain_timeout());
    // The caller closes the connection once it has all responses. Closing it here could
    // truncate a response that is not yet acknowledged.
    let finished = async {
        requests.finished().await;
        quic.closed().await;
    };
    future::or(sleep_until(Some(deadline)), finished).await;
    close(&quic);
    end
}

/// Closes a connection without an error.
fn close(quic: &quinn::Connection) {
    let code = h3::error::Code::H3_NO_ERROR.value();
    quic.close(code.try_into().unwrap_or_default(), b"");
}

/// The requests of a connection.
///
/// They continue without their caller when the connection ends, however it ends, since the
/// result of a request that has started must be recorded.
#[derive(Debug, Default)]
struct Requests {
    /// The requests, some of which may be complete.
    tasks: Vec<Task<()>>,
}

impl Requests {
    /// Adds a request.
    fn push(&mut self, task: Task<()>) {
        self.tasks.retain(|task| !task.is_finished());
        self.tasks.push(task);
    }

    /// Waits until all requests are complete.
    async fn finished(&mut self) {
        while let Some(task) = self.tasks.last_mut() {
            task.await;
            self.tasks.pop();
        }
    }
}

impl Drop for Requests {
    fn drop(&mut self) {
        self.tasks.drain(..).for_each(Task::detach);
    }
}

/// The next event of a session.
enum Event {
    /// A request has arrived.
    Request(Box<RequestResolver<h3_quinn::Connection, Bytes>>),
    /// A drain has begun.
    Drain,
    /// No more requests will arrive: the caller said so, or the connection is closed.
    End,
    /// The drain has timed out.
    Expired,
}

/// Waits for a request, the start or timeout of a drain, or the end of the connection.
async fn next<U: Upstream, L: Link>(
    context: &Context<U, L>,
    drain: &Drain,
    session: &mut Connection,
    deadline: Option<Instant>,
) -> Event {
    let request = async {
        match session.accept().await {
            Ok(Some(resolver)) => Event::Request(Box::new(resolver)),
            Ok(None) | Err(_) => Event::End,
        }
    };
    let drain = async {
        if deadline.is_some() {
            sleep_until(deadline).await;
            return Event::Expired;
        }
        future::or(context.drain().wait(), drain.wait()).await;
        Event::Drain
    };
    future::or(request, drain).await
}

/// Waits until the given time, or forever without one.
async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => {
            Timer::at(at).await;
        }
        None => future::pending().await,
    }
}

/// Serves one request.
async fn serve_request<U: Upstream, L: Link>(
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

/// Rejects a request without processing it.
async fn reject(resolver: RequestResolver<h3_quinn::Connection, Bytes>) {
    let Ok((_, mut stream)) = resolver.resolve_request().await else { return };
    stream.stop_sending(h3::error::Code::H3_REQUEST_REJECTED);
    stream.stop_stream(h3::error::Code::H3_REQUEST_REJECTED);
}
