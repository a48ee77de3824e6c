//! HTTP/1.1 connections between an agent and its backend server, over sockets on loopback.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use lentilreach::process::pool::Pool;
use lentilreach::process::upstream::{Http, Lease};
use lentilreach::request::serve::Upstream;

/// Time after which a test gives up waiting for something that must happen.
const GIVE_UP: Duration = Duration::from_secs(10);

/// Time in which something that must not happen would have happened.
const SETTLE: Duration = Duration::from_millis(300);

/// A backend server whose connections the test reads and writes.
struct Backend {
    /// Accepts connections.
    listener: TcpListener,
    /// Where it listens.
    address: SocketAddr,
}

impl Backend {
    /// Starts a backend server.
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a socket can be bound");
        let address = listener.local_addr().expect("bound");
        Self { listener, address }
    }

    /// Accepts a connection.
    fn accept(&self) -> TcpStream {
        let (stream, _) = self.listener.accept().expect("the agent connects");
        stream.set_read_timeout(Some(GIVE_UP)).expect("valid");
        stream
    }
}

/// Reads a request without a body; returns its path, or `None` once the agent has closed the
/// connection.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    let head = String::from_utf8(head).expect("text");
    head.split(' ').nth(1).map(str::to_owned)
}

/// A response with a body of four bytes.
fn response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n{body}")
}

/// A client of the backend server, and its notifications of a restart.
fn client(backend: &Backend) -> (Http, async_channel::Receiver<()>) {
    let pool = Pool::new(2).expect("threads can be started");
    Http::new(backend.address, pool)
}

/// Sends a request on a connection and waits for the head of the response.
async fn call(lease: &mut Lease, path: &str) -> Result<Response<Incoming>, hyper::Error> {
    let mut request = Request::new(Full::<Bytes>::default());
    *request.uri_mut() = path.parse().expect("a path");
    Http::call(lease, request).await
}

/// Sends a request and reads the whole response; `Err` if it is not complete.
async fn exchange(client: &Http, path: &str) -> Result<Bytes, hyper::Error> {
    let mut lease = client.lease().await.expect("connected");
    let response = call(&mut lease, path).await?;
    Ok(response.into_body().collect().await?.to_bytes())
}

/// Waits for a future, but not forever.
async fn within<T>(time: Duration, future: impl Future<Output = T>) -> Option<T> {
    let timeout = async {
        Timer::after(time).await;
        None
    };
    future::or(async { Some(future.await) }, timeout).await
}

/// Guards against a cold start because a caller cancelled: the agent took the end of the only
/// connection for a restart of the backend server, although it had closed it itself.
#[test]
fn a_connection_that_the_agent_closes_is_no_restart() {
    let backend = Backend::start();
    let (client, closed) = client(&backend);
    let cancelled = async {
        let mut lease = client.lease().await.expect("connected");
        let response = call(&mut lease, "/feed").await.expect("a head");
        drop(response);
    };
    let server = std::thread::spawn(move || {
        let mut stream = backend.accept();
        read_request(&mut stream).expect("a request");
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\nfirst";
        stream.write_all(head.as_bytes()).expect("connected");
        read_request(&mut stream)
    });

    smol::block_on(cancelled);

    assert_eq!(server.join().expect("no panic"), None, "the agent closes it");
    assert_eq!(smol::block_on(within(SETTLE, closed.recv())), None);
}

/// Guards against a restart that goes unnoticed.
#[test]
fn a_connection_that_the_backend_server_closes_is_a_restart() {
    let backend = Backend::start();
    let (client, closed) = client(&backend);
    let server = std::thread::spawn(move || {
        let mut stream = backend.accept();
        read_request(&mut stream).expect("a request");
        stream.write_all(response("done").as_bytes()).expect("connected");
    });

    let answer = smol::block_on(exchange(&client, "/1")).expect("complete");

    server.join().expect("no panic");
    assert_eq!(answer, "done");
    assert_eq!(smol::block_on(within(GIVE_UP, closed.recv())), Some(Ok(())));
}

/// Guards against a restart that goes unnoticed when it resets a connection with a request.
#[test]
fn a_connection_that_the_backend_server_resets_is_a_restart() {
    let backend = Backend::start();
    let (client, closed) = client(&backend);
    let server = std::thread::spawn(move || {
        // Closing a socket with unread data resets the connection.
        let mut stream = backend.accept();
        stream.read_exact(&mut [0]).expect("a request");
    });

    let answer = smol::block_on(exchange(&client, "/1"));

    server.join().expect("no panic");
    assert!(answer.is_err(), "{answer:?}");
    assert_eq!(smol::block_on(within(GIVE_UP, closed.recv())), Some(Ok(())));
}

/// Guards against an answer that is not the caller's own: the response to a request that was
/// given up is not read as the response to the next request.
#[test]
fn a_late_response_does_not_answer_the_next_request() {
    let backend = Backend::start();
    let (client, _closed) = client(&backend);
    let server = std::thread::spawn(move || {
        let mut first = backend.accept();
        read_request(&mut first).expect("a request");
        let mut second = backend.accept();
        let path = read_request(&mut second).expect("another request");
        // It may fail: the agent may have closed the connection.
        let _ = first.write_all(response("late").as_bytes());
        second.write_all(response("next").as_bytes()).expect("connected");
        (path, read_request(&mut first))
    });

    let answer = smol::block_on(async {
        let mut lease = client.lease().await.expect("connected");
        let given_up = within(SETTLE, call(&mut lease, "/1")).await;
        assert!(given_up.is_none(), "no response yet");
        drop(lease);
        exchange(&client, "/2").await
    });

    assert_eq!(answer.expect("complete"), "next");
    assert_eq!(server.join().expect("no panic"), ("/2".to_owned(), None));
}

/// Guards against an answer that is not the caller's own: bytes after a complete response are
/// not read as the response to the next request.
#[test]
fn bytes_after_a_response_do_not_answer_the_next_request() {
    let backend = Backend::start();
    let (client, _closed) = client(&backend);
    let server = std::thread::spawn(move || {
        let mut first = backend.accept();
        read_request(&mut first).expect("a request");
        let twice = response("once") + &response("more");
        first.write_all(twice.as_bytes()).expect("connected");
        // Waits until the agent has closed the connection or used it again.
        read_request(&mut first);
        let mut second = backend.accept();
        read_request(&mut second).expect("another request");
        second.write_all(response("next").as_bytes()).expect("connected");
    });

    let once = smol::block_on(exchange(&client, "/1")).expect("complete");
    assert_eq!(once, "once");

    // A request that the agent puts on the first connection before it notices the bytes fails.
    let next = smol::block_on(async {
        match exchange(&client, "/2").await {
            Ok(answer) => answer,
            Err(_) => exchange(&client, "/2").await.expect("on another connection"),
        }
    });
    assert_eq!(next, "next");
    server.join().expect("no panic");
}

/// Guards against a truncated answer that is taken for a complete one.
#[test]
fn a_truncated_response_is_an_error() {
    let truncated = [
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhalf",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n",
    ];
    for bytes in truncated {
        let backend = Backend::start();
        let (client, _closed) = client(&backend);
        let server = std::thread::spawn(move || {
            let mut stream = backend.accept();
            read_request(&mut stream).expect("a request");
            stream.write_all(bytes.as_bytes()).expect("connected");
        });

        let answer = smol::block_on(exchange(&client, "/1"));

        server.join().expect("no panic");
        assert!(answer.is_err(), "{bytes:?}: {answer:?}");
    }
}
