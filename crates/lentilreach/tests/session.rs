//! An agent that serves callers over QUIC, through a balancer, over sockets on loopback.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use async_io::Timer;
use bytes::{Buf, Bytes};
use futures_lite::future;
use h3::client::SendRequest;
use h3::error::{Code, StreamError};
use http::{HeaderMap, Request, Response};
use lentilreach::connection::admission;
use lentilreach::id::{domain, node, service};
use lentilreach::process::agent::{Agent, Limits, Served, Settings};
use lentilreach::process::balancer::Balancer;
use lentilreach::process::context::Claim;
use lentilreach::process::ingress::Direct;
use lentilreach::process::key::{Keyring, Secret};
use lentilreach::process::link::{Link, Udp};
use lentilreach::process::pool::Pool;
use lentilreach::process::tables::Tables;
use lentilreach::request::admit;
use lentilreach::request::rule::{self, Outcome};
use lentilreach::version::view::{Load, Member, Service, Stage, View};
use lentilreach_standin::tls;
use smol::Task;

/// Time after which a test gives up waiting for something that must happen.
const GIVE_UP: Duration = Duration::from_secs(10);

/// The response of the backend server.
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

/// A backend server that answers each request when the test says so.
struct Backend {
    /// Where it listens.
    address: SocketAddr,
    /// The requests that have arrived, each with its connection.
    requests: Receiver<TcpStream>,
}

impl Backend {
    /// Starts a backend server.
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a socket can be bound");
        let address = listener.local_addr().expect("bound");
        let (sender, requests) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let sender = sender.clone();
                std::thread::spawn(move || read_requests(stream, &sender));
            }
        });
        Self { address, requests }
    }

    /// Waits for the next request.
    fn next(&self) -> TcpStream {
        self.requests.recv_timeout(GIVE_UP).expect("a request arrives")
    }
}

/// Reports each request without a body that arrives on a connection.
fn read_requests(mut stream: TcpStream, requests: &Sender<TcpStream>) {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while stream.read(&mut byte).is_ok_and(|len| len == 1) {
        head.push(byte[0]);
        if head.ends_with(b"\r\n\r\n") {
            head.clear();
            let _ = requests.send(stream.try_clone().expect("a descriptor is free"));
        }
    }
}

/// An agent and a balancer that serve one service.
struct Deployment {
    /// Runs the tasks.
    pool: Pool,
    /// The agent.
    agent: Agent<Udp>,
    /// The balancer.
    _balancer: Balancer,
    /// The service.
    served: Served,
    /// Opens flows.
    endpoint: quinn::Endpoint,
}

impl Deployment {
    /// Starts the processes. Connections may take `leave_ms` to drain.
    fn start(backend: SocketAddr, leave_ms: u64) -> Self {
        let pool = Pool::new(2).expect("threads can be started");
        let identity = tls::identity().expect("a certificate can be made");
        let ingress = Direct::bind(local()).expect("a socket can be bound");
        let served = Served {
            id: service::Id(7),
            address: ingress.local_addr(),
            name: "peakline/ropeledger".into(),
        };
        let link = Udp::bind(local()).expect("a socket can be bound");
        let SocketAddr::V4(address) = link.local_addr() else { unreachable!("IPv4") };
        let settings = Settings {
            node: node::Id(1),
            domain: domain::Id(0),
            backend,
            limits: limits(leave_ms),
            identity: identity.clone(),
        };
        let agent = Agent::start(&pool, tables(1), link, settings).expect("IPv4");
        agent.replace_services(std::slice::from_ref(&served)).expect("it can be served");
        let balancing = tables(2);
        balancing.set_view(view(&served, address));
        let link = Udp::bind(local()).expect("a socket can be bound");
        let balancer = Balancer::start(&pool, balancing, ingress, link);
        let mut endpoint =
            quinn::Endpoint::client(local()).expect("a socket can be bound");
        endpoint.set_default_client_config(client(&identity));
        Self { pool, agent, _balancer: balancer, served, endpoint }
    }

    /// Opens a flow.
    async fn open(&self) -> Flow {
        let flow = self.open_deaf().await;
        flow.listen.try_send(()).expect("not sent before");
        flow
    }

    /// Opens a flow whose caller does not process the frames of the control stream yet.
    async fn open_deaf(&self) -> Flow {
        let connecting = self.endpoint.connect(self.served.address, tls::NAME);
        let quic = connecting.expect("valid").await.expect("the flow is admitted");
        let wrapped = h3_quinn::Connection::new(quic.clone());
        let (mut driver, sender) = h3::client::new(wrapped).await.expect("HTTP/3");
        let (listen, heard) = async_channel::bounded(1);
        let (end, ended) = async_channel::bounded::<()>(1);
        let driver = self.pool.spawn(async move {
            let _ = heard.recv().await;
            let closed = async {
                future::poll_fn(|cx| driver.poll_close(cx)).await;
            };
            let ended = async {
                let _ = ended.recv().await;
            };
            future::or(closed, ended).await;
            let _ = driver.shutdown(0).await;
            future::poll_fn(|cx| driver.poll_close(cx)).await;
        });
        Flow { quic, sender, listen, end, _driver: driver }
    }
}

/// A caller's flow.
struct Flow {
    /// The connection.
    quic: quinn::Connection,
    /// Sends requests.
    sender: SendRequest<h3_quinn::OpenStreams, Bytes>,
    /// Lets the caller process the frames of the control stream.
    listen: async_channel::Sender<()>,
    /// Lets the caller send GOAWAY.
    end: async_channel::Sender<()>,
    /// Drives HTTP/3.
    _driver: Task<()>,
}

impl Flow {
    /// Starts to send a request and to receive its response.
    fn call(&self, pool: &Pool, method: &str, key: Option<&str>) -> Call {
        let mut request = Request::builder().method(method).uri("https://localhost/");
        if let Some(key) = key {
            request = request.header(rule::IDEMPOTENCY_KEY, key);
        }
        let request = request.body(()).expect("valid");
        let mut sender = self.sender.clone();
        Call(pool.spawn(async move {
            let mut stream = sender.send_request(request).await?;
            stream.finish().await?;
            let response = stream.recv_response().await?.map(|()| Vec::new());
            let (head, mut body) = response.into_parts();
            while let Some(data) = stream.recv_data().await? {
                data.reader().read_to_end(&mut body).expect("in memory");
            }
            Ok(Response::from_parts(head, body))
        }))
    }
}

/// A request on its way.
struct Call(Task<Result<Response<Vec<u8>>, StreamError>>);

impl Call {
    /// Waits for the complete response.
    fn wait(self) -> Result<Response<Vec<u8>>, StreamError> {
        wait("a response", self.0)
    }
}

/// Any free port.
fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The tables of a process.
fn tables(node: u64) -> Arc<Tables> {
    let secret = Secret::fleet(b"the secret of the fixture");
    let keyring = Keyring::new(node::Id(node), &[secret], Secret::FLEET);
    Arc::new(Tables::new(keyring))
}

/// Limits that refuse nothing here.
fn limits(leave_ms: u64) -> Limits {
    Limits {
        requests: admit::Limits { slots: 4, cold_slots: 4, cold_ms: 0, queue: 4 },
        flows: admission::Limits { flows: 9, cold_flows: 9, half_open_ms: 5_000 },
        deadline_ms: 30_000,
        leave_ms,
    }
}

/// The view of a balancer with one agent.
fn view(served: &Served, agent: SocketAddrV4) -> View {
    let member = Member {
        node: node::Id(1),
        agent,
        domain: domain::Id(0),
        stage: Stage::Active,
        load: Load { limit: 9, slots: 4, ..Load::default() },
    };
    let (id, name) = (served.id, served.name.clone());
    View::new(1, vec![Service::new(served.address, id, name, vec![member])], Vec::new())
}

/// A QUIC client configuration for callers.
fn client(identity: &lentilreach::process::endpoint::Identity) -> quinn::ClientConfig {
    tls::client(identity).expect("the certificate is usable")
}

/// Waits for something that must happen.
fn wait<T>(what: &str, future: impl Future<Output = T>) -> T {
    let timeout = async {
        Timer::after(GIVE_UP).await;
        panic!("gave up waiting for {what}")
    };
    smol::block_on(future::or(future, timeout))
}

/// Stops this process for 0.8 s; the response to a request arrives meanwhile.
fn answer_during_a_pause(request: TcpStream) {
    let response = r"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";
    let script = format!(
        "kill -STOP $PPID; sleep 0.2; printf '{response}'; sleep 0.6; kill -CONT $PPID"
    );
    let mut shell = Command::new("sh");
    shell.args(["-c", &script]).stdout(Stdio::from(OwnedFd::from(request)));
    assert!(shell.status().expect("a shell").success());
}

/// An idempotency key for a request on a flow. Takes one request to the backend server.
fn key(deployment: &Deployment, flow: &Flow, backend: &Backend) -> String {
    let call = flow.call(&deployment.pool, "GET", None);
    backend.next().write_all(RESPONSE).expect("connected");
    let response = call.wait().expect("answered");
    let binding = response.headers()[rule::BINDING].to_str().expect("text");
    format!("{binding}.1")
}

/// The decision of an agent on a repeated request, once it no longer runs.
fn repeat(deployment: &Deployment, key: &str) -> Claim {
    let context = deployment.agent.shared().context.clone();
    let mut headers = HeaderMap::new();
    headers.insert(rule::IDEMPOTENCY_KEY, key.parse().expect("a header value"));
    wait("the end of the request", async {
        loop {
            let claim = context.claim(&headers).await;
            if !matches!(claim, Claim::Respond(_, Outcome::Running)) {
                return claim;
            }
            Timer::after(Duration::from_millis(20)).await;
        }
    })
}

/// Guards against a request whose outcome is lost when the drain of its connection reaches its
/// time limit: it was cancelled without a record, so that its key was reported as running for
/// an hour, and its caller never learned that it had run.
#[test]
fn a_request_beyond_the_drain_is_recorded() {
    let backend = Backend::start();
    let deployment = Deployment::start(backend.address, 100);
    let flow = wait("a flow", deployment.open());
    let key = key(&deployment, &flow, &backend);
    let call = flow.call(&deployment.pool, "POST", Some(&key));
    let mut request = backend.next();

    deployment.agent.update_services(&[]).expect("nothing to start");
    wait("the end of the drain", flow.quic.closed());
    request.write_all(RESPONSE).expect("the agent keeps the connection");

    assert!(call.wait().is_err(), "the connection was closed");
    let repeated = repeat(&deployment, &key);
    assert!(matches!(repeated, Claim::Replay(_)), "{repeated:?}");
}

/// Guards against connections that are closed with running requests when operators add a
/// service again while it drains.
#[test]
fn a_service_that_is_added_again_keeps_its_connections() {
    let backend = Backend::start();
    let deployment = Deployment::start(backend.address, 30_000);
    let served = std::slice::from_ref(&deployment.served);
    let flow = wait("a flow", deployment.open());
    let call = flow.call(&deployment.pool, "GET", None);
    let mut request = backend.next();

    deployment.agent.update_services(&[]).expect("nothing to start");
    deployment.agent.update_services(served).expect("it can be served");
    request.write_all(RESPONSE).expect("connected");

    assert!(call.wait().is_ok());
    let next = wait("a flow", deployment.open());
    let call = next.call(&deployment.pool, "GET", None);
    backend.next().write_all(RESPONSE).expect("connected");
    assert!(call.wait().is_ok(), "it gets new flows");
}

/// Guards against a process that stops while a request runs whose caller has disconnected: the
/// planned stop interrupted it.
#[test]
fn a_stop_waits_for_requests_without_a_caller() {
    let backend = Backend::start();
    let deployment = Deployment::start(backend.address, 30_000);
    let flow = wait("a flow", deployment.open());
    let key = key(&deployment, &flow, &backend);
    let _call = flow.call(&deployment.pool, "POST", Some(&key));
    let mut request = backend.next();
    let agent = &deployment.agent;
    flow.quic.close(0_u32.into(), b"");
    wait("the end of the flow", async {
        while agent.shared().flows.read().open() > 0 {
            Timer::after(Duration::from_millis(5)).await;
        }
    });

    agent.begin_drain();

    let early = async {
        agent.drained().await;
        true
    };
    let running = async {
        Timer::after(Duration::from_millis(200)).await;
        false
    };
    assert!(!smol::block_on(future::or(early, running)), "stopped early");
    request.write_all(RESPONSE).expect("the agent keeps the connection");
    wait("the end of the drain", agent.drained());
}

/// Guards against a caller that is never answered because the backend server stalls in the
/// middle of its response to a request that is not idempotent.
#[test]
fn a_stalled_response_is_unknown_at_the_deadline() {
    let backend = Backend::start();
    let deployment = Deployment::start(backend.address, 30_000);
    let flow = wait("a flow", deployment.open());
    let key = key(&deployment, &flow, &backend);
    deployment.agent.set_limits(Limits { deadline_ms: 200, ..limits(30_000) });

    let call = flow.call(&deployment.pool, "POST", Some(&key));
    backend.next().write_all(&RESPONSE[..RESPONSE.len() - 1]).expect("connected");

    let response = call.wait().expect("answered");
    assert_eq!(response.headers()[rule::OUTCOME], Outcome::Unknown.as_str());
}

/// Guards against an answer that is lost because the caller said that it sends no more requests:
/// the agent closed the connection before the response had arrived.
#[test]
fn a_caller_that_ends_its_flow_gets_its_answer() {
    let backend = Backend::start();
    let deployment = Deployment::start(backend.address, 30_000);
    let flow = wait("a flow", deployment.open());
    let body = vec![7; 500_000];
    let call = flow.call(&deployment.pool, "GET", None);
    let mut request = backend.next();

    flow.end.try_send(()).expect("not sent before");
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    request.write_all(head.as_bytes()).expect("connected");
    request.write_all(&body).expect("connected");

    let response = call.wait().expect("answered");
    assert!(*response.body() == body, "{} bytes", response.body().len());
}

/// Guards against a request that runs although the agent told its caller that it does not: the
/// GOAWAY of a draining service rejects all requests that arrive later.
#[test]
fn a_request_after_goaway_does_not_run() {
    let backend = Backend::start();
    let deployment = Deployment::start(backend.address, 30_000);
    let flow = wait("a flow", deployment.open_deaf());
    key(&deployment, &flow, &backend);
    let frames = flow.quic.stats().frame_rx.stream;

    deployment.agent.update_services(&[]).expect("nothing to start");
    wait("GOAWAY", async {
        while flow.quic.stats().frame_rx.stream == frames {
            Timer::after(Duration::from_millis(5)).await;
        }
    });
    let call = flow.call(&deployment.pool, "GET", None);

    let ran = backend.requests.recv_timeout(Duration::from_millis(300)).is_ok();
    assert!(!ran, "it ran");
    let rejected = call.wait().expect_err("rejected");
    let StreamError::RemoteTerminate { code, .. } = rejected else {
        panic!("{rejected:?}")
    };
    assert_eq!(code, Code::H3_REQUEST_REJECTED);
}

/// Guards against a truncated answer that is taken for a complete one, when the backend server
/// breaks off or the drain reaches its time limit.
#[test]
fn a_truncated_response_is_an_error_at_the_caller() {
    let heads = [
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ];
    for (head, drains) in heads.into_iter().flat_map(|head| [(head, false), (head, true)])
    {
        let backend = Backend::start();
        let deployment = Deployment::start(backend.address, 100);
        let flow = wait("a flow", deployment.open());
        let call = flow.call(&deployment.pool, "GET", None);
        let mut request = backend.next();
        request.write_all(head.as_bytes()).expect("connected");

        if drains {
            deployment.agent.update_services(&[]).expect("nothing to start");
        } else {
            request.shutdown(Shutdown::Both).expect("connected");
        }

        assert!(call.wait().is_err(), "{head:?} drains={drains}");
    }
}

/// Guards against an answer that is lost because the agent stood still: the deadline passed in a
/// time in which it could not read the response that was there.
#[test]
fn a_response_that_arrives_during_a_pause_is_an_answer() {
    let program = std::env::current_exe().expect("the path of this program");
    let name = "a_response_that_arrives_while_the_process_is_stopped_is_an_answer";
    let output = Command::new(program)
        .args(["--exact", "--ignored", name])
        .output()
        .expect("this program can be started");

    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success() && text.contains("1 passed"), "{text}");
}

/// As above, in a process of its own: it stops itself, and other tests must go on.
#[test]
#[ignore = "run by the test above"]
fn a_response_that_arrives_while_the_process_is_stopped_is_an_answer() {
    let backend = Backend::start();
    let deployment = Deployment::start(backend.address, 30_000);
    let flow = wait("a flow", deployment.open());
    let key = key(&deployment, &flow, &backend);
    deployment.agent.set_limits(Limits { deadline_ms: 300, ..limits(30_000) });
    let call = flow.call(&deployment.pool, "POST", Some(&key));

    answer_during_a_pause(backend.next());

    let response = call.wait().expect("answered");
    assert_eq!(response.headers().get(rule::OUTCOME), None);
    assert_eq!(response.body(), b"done");
}
