//! The admin endpoint over loopback.

#[path = "fixture/status.rs"]
mod fixture;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_channel::Sender;
use fixture::status;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use lentilreach::process::admin::status::Status;
use lentilreach::process::admin::{Admin, Error, Server, Source, fetch};
use lentilreach::process::clock::Stamp;
use lentilreach::process::event::{Kind, Label, Recorder};
use lentilreach::process::metric;
use metrics_exporter_prometheus::PrometheusBuilder;
use smol::Task;
use smol::net::{TcpListener, TcpStream};

/// Guards against a process that reports ready, and so gets traffic, before it has a
/// configuration.
#[test]
fn readiness_follows_the_source_and_liveness_does_not() {
    smol::block_on(async {
        let endpoint = Endpoint::start().await;

        let live = endpoint.request("GET /live HTTP/1.1").await;
        let before = endpoint.request("GET /ready HTTP/1.1").await;
        endpoint.ready.store(true, Ordering::SeqCst);
        let after = endpoint.request("GET /ready HTTP/1.1").await;

        assert!(live.starts_with("HTTP/1.1 200 OK"), "{live}");
        assert!(before.starts_with("HTTP/1.1 503 "), "{before}");
        assert!(
            before.ends_with("\r\n\r\nno configuration is in force yet\n"),
            "{before}"
        );
        assert!(after.starts_with("HTTP/1.1 200 OK"), "{after}");
    });
}

/// Guards against metrics that are counted but not exported.
#[test]
fn metrics_are_in_prometheus_text_format() {
    smol::block_on(async {
        let endpoint = Endpoint::start().await;
        endpoint.recorder.record(1, Kind::StoreAway);

        let text = endpoint.request("GET /metrics HTTP/1.1").await;

        assert!(text.contains("content-type: text/plain; version=0.0.4"), "{text}");
        let line = "lentilreach_events_total{kind=\"store-away\"} 1";
        assert!(text.lines().any(|found| found == line), "{text}");
    });
}

/// Guards against a client that polls for events and misses some or gets some twice.
#[test]
fn events_since_a_stamp_are_fetched_in_order() {
    smol::block_on(async {
        let endpoint = Endpoint::start().await;
        let peer = endpoint.address.to_string();
        endpoint.recorder.record(1_000, Kind::StoreAway);
        endpoint.recorder.record(1_000, Kind::StoreBack);

        let first = fetch::events(&peer, Stamp::default()).await.expect("served");
        let last = first.events.last().expect("two events").stamp;
        let none = fetch::events(&peer, last).await.expect("served");
        endpoint.recorder.record(900, Kind::ConfigInForce.with_revision(3));
        let second = fetch::events(&peer, last).await.expect("served");

        let labels = |timeline: &fetch::Timeline| -> Vec<Label> {
            timeline.events.iter().map(|event| event.kind.label()).collect()
        };
        assert_eq!(labels(&first), [Label::StoreAway, Label::StoreBack]);
        assert_eq!(labels(&none), []);
        assert_eq!(
            labels(&second),
            [Label::ConfigInForce],
            "although its wall-clock time is earlier"
        );
        assert_eq!(second.events[0].revision, Some(3));
    });
}

/// Guards against a status that is changed by encoding and decoding.
#[test]
fn status_is_fetched_unchanged() {
    smol::block_on(async {
        let endpoint = Endpoint::start().await;

        let fetched = fetch::status(&endpoint.address.to_string()).await.expect("served");

        assert!(!fetched.ready);
        assert_eq!(fetched.unready.as_deref(), Some("no configuration is in force yet"));
        assert_eq!(Status::try_from(fetched), Ok(status()));
    });
}

/// Guards against undefined responses to invalid requests.
#[test]
fn invalid_requests_get_error_statuses() {
    smol::block_on(async {
        let endpoint = Endpoint::start().await;
        let long = format!("GET /{} HTTP/1.1", "x".repeat(17_000));
        let cases = [
            ("POST /ready HTTP/1.1", "405"),
            ("GET /nothing HTTP/1.1", "404"),
            ("GET /events?since=yesterday HTTP/1.1", "400"),
            ("GET /events?until=5.0 HTTP/1.1", "400"),
            ("nonsense", "400"),
            (long.as_str(), "431"),
        ];

        for (line, status) in cases {
            let answer = endpoint.request(line).await;
            let start = format!("HTTP/1.1 {status}");
            assert!(answer.starts_with(&start), "{:.40} got {answer:.80}", line);
        }

        assert!(endpoint.request("GET /live HTTP/1.1").await.starts_with("HTTP/1.1 200"));
    });
}

/// Guards against one stalled connection that blocks all others.
#[test]
fn a_stalled_connection_does_not_block_others() {
    smol::block_on(async {
        let endpoint = Endpoint::start().await;
        let mut stalled = TcpStream::connect(endpoint.address).await.expect("accepted");
        stalled.write_all(b"GET /metr").await.expect("written");

        let answer = endpoint.request("GET /live HTTP/1.1").await;

        assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
    });
}

/// Guards against a shutdown that waits for idle connections or keeps accepting new ones.
#[test]
fn stop_closes_idle_connections_and_frees_the_port() {
    smol::block_on(async {
        // A separate address, so that no other test can bind the port once it is free.
        let endpoint = Endpoint::at([127, 44, 0, 1]).await;
        let mut idle = TcpStream::connect(endpoint.address).await.expect("accepted");
        let request = b"GET /live HTTP/1.1\r\nhost: a\r\n\r\n";
        idle.write_all(request).await.expect("written");
        let mut answer = [0; 15];
        idle.read_exact(&mut answer).await.expect("answered");

        drop(endpoint.stop);
        let aborted = endpoint.task.await;

        assert_eq!(aborted, 0, "idle connections need no grace period");
        let mut rest = Vec::new();
        idle.read_to_end(&mut rest).await.expect("closed without a reset");
        assert!(String::from_utf8_lossy(&rest).ends_with("live\n"));
        TcpListener::bind(endpoint.address).await.expect("the port is free");
    });
}

/// Guards against an error that names the wrong process or hides the cause.
#[test]
fn fetch_errors_name_the_peer_and_the_step() {
    smol::block_on(async {
        // A separate address, on which no other test listens.
        let closed = TcpListener::bind("127.44.0.2:0").await.expect("bound");
        let peer = closed.local_addr().expect("bound").to_string();
        drop(closed);

        let error = fetch::status(&peer).await.expect_err("nobody listens");

        assert!(matches!(&error, Error::Unreachable { step: "connect", .. }), "{error}");
        assert_eq!(error.peer(), peer);
    });
}

/// Guards against a panic on the response of another HTTP server.
#[test]
fn fetch_rejects_responses_of_other_servers() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let peer = listener.local_addr().expect("bound").to_string();
        let other = smol::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("connected");
            // A response sent before the request was read would cause a different error.
            stream.read(&mut [0; 512]).await.expect("read");
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nhello\n";
            stream.write_all(answer).await.expect("written");
        });

        let error = fetch::events(&peer, Stamp::default()).await.expect_err("not JSON");

        assert!(matches!(error, Error::Invalid { .. }), "{error}");
        other.await;
    });
}

/// A served admin endpoint.
struct Endpoint {
    /// Address at which it listens.
    address: SocketAddr,
    /// Recorder of the events that it serves.
    recorder: Recorder,
    /// Whether its source reports ready.
    ready: Arc<AtomicBool>,
    /// Stops the server when dropped.
    stop: Sender<()>,
    /// Completes when the server has stopped, with the number of aborted connections.
    task: Task<usize>,
}

impl Endpoint {
    /// Serves on a free loopback port.
    async fn start() -> Self {
        Self::at([127, 0, 0, 1]).await
    }

    /// Serves on a free port of an address, with a separate metrics recorder.
    async fn at(address: [u8; 4]) -> Self {
        let metrics = PrometheusBuilder::new().build_recorder();
        let recorder = ::metrics::with_local_recorder(&metrics, || {
            metric::describe();
            Recorder::new("b1".into(), "belper".into())
        });
        let ready = Arc::new(AtomicBool::new(false));
        let admin = Admin::new(Fixed(ready.clone()), recorder.clone(), metrics.handle());
        let server =
            Server::bind(SocketAddr::from((address, 0))).await.expect("a free port");
        let address = server.local_address();
        let (stop, stopped) = async_channel::bounded(1);
        let task = smol::spawn(async move {
            let stop = async move {
                let _ = stopped.recv().await;
            };
            server.serve(admin, stop).await
        });
        Self { address, recorder, ready, stop, task }
    }

    /// Sends a request on a new connection; returns the whole response.
    async fn request(&self, line: &str) -> String {
        let mut stream = TcpStream::connect(self.address).await.expect("accepted");
        let request = format!("{line}\r\nhost: a\r\nconnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("written");
        let mut answer = Vec::new();
        // After a rejected request, the connection may be reset. The response read before
        // that is what counts.
        let _ = stream.read_to_end(&mut answer).await;
        String::from_utf8(answer).expect("text")
    }
}

/// A source with a fixed status, whose readiness the flag controls.
struct Fixed(Arc<AtomicBool>);

impl Source for Fixed {
    fn ready(&self) -> Result<(), String> {
        let ready = self.0.load(Ordering::SeqCst);
        ready.then_some(()).ok_or("no configuration is in force yet".into())
    }

    fn status(&self) -> Status {
        status()
    }
}
