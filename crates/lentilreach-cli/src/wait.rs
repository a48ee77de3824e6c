//! Waits until a change is in force at the daemons given by `--admin`.

use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, value_parser};
use futures_lite::future;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use lentilreach::process::submit::Outcome;
use smol::{Async, Timer};
use smol_hyper::rt::FuturesIo;

use crate::reply::{Reply, Status};

/// Gauge with the configuration revision that is in force at a daemon.
const REVISION_GAUGE: &str = "lentilreach_config_revision";

/// Time between two polls of a daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time for one poll of a daemon.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest metrics response in bytes.
const MAX_METRICS_BYTES: usize = 1 << 20;

/// Builds the options `--wait`, `--admin` and `--timeout`.
pub fn args() -> [Arg; 3] {
    let wait = Arg::new("wait")
        .long("wait")
        .help("Wait until the change is in force at every daemon given by --admin")
        .requires("admin")
        .action(ArgAction::SetTrue);
    let admin = Arg::new("admin")
        .long("admin")
        .value_name("ADDRESS")
        .help("Admin addresses of daemons, separated by commas")
        .env("LENTILREACH_ADMIN")
        .value_delimiter(',')
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr));
    let timeout = Arg::new("timeout")
        .long("timeout")
        .value_name("SECONDS")
        .help("Longest time to wait; a change should be in force everywhere after 7 s")
        .default_value("30")
        .value_parser(value_parser!(u64).range(1..=3_600));
    [wait, admin, timeout]
}

/// With `--wait`, waits until a change that took effect is in force at all daemons given.
///
/// Returns the reply unchanged if there is nothing to wait for. Its status becomes
/// [`Status::Unknown`] if a daemon has an older revision or no answer when the time is up.
pub fn wait(matches: &ArgMatches, outcome: &Outcome, reply: Reply) -> Reply {
    let Outcome::Done { revision, .. } = outcome else { return reply };
    if !matches.get_flag("wait") {
        return reply;
    }
    let daemons: Vec<SocketAddr> =
        matches.get_many("admin").unwrap_or_default().copied().collect();
    let seconds = matches.get_one("timeout").copied().unwrap_or(30);
    let deadline = Instant::now() + Duration::from_secs(seconds);
    let behind = future::block_on(poll_until_in_force(daemons, *revision, deadline));
    if behind.is_empty() {
        let line = format!("revision {revision} is in force at all daemons given");
        return reply.update(Status::Done, &line, "in_force", true.into());
    }
    let list: Vec<_> =
        behind.iter().map(|(address, poll)| format!("\n  {address}: {poll}")).collect();
    let line = format!("not in force after {seconds} s at:{}", list.concat());
    reply.update(Status::Unknown, &line, "in_force", false.into())
}

/// Result of one poll of a daemon.
#[derive(Debug)]
enum Poll {
    /// The revision in force at the daemon.
    Revision(u64),
    /// The daemon reports no revision, or has not been polled yet.
    NoRevision,
    /// The daemon cannot be polled.
    Failed(io::Error),
}

impl Display for Poll {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Revision(revision) => write!(f, "revision {revision}"),
            Self::NoRevision => write!(f, "its metrics have no {REVISION_GAUGE}"),
            Self::Failed(error) => write!(f, "cannot be reached: {error}"),
        }
    }
}

/// Polls the daemons until all have the revision or the deadline has passed. Returns those
/// that do not have it, with the result of their last poll.
async fn poll_until_in_force(
    daemons: Vec<SocketAddr>,
    revision: u64,
    deadline: Instant,
) -> Vec<(SocketAddr, Poll)> {
    let mut behind: Vec<_> = daemons.into_iter().map(|a| (a, Poll::NoRevision)).collect();
    loop {
        // Polled concurrently, so that one unresponsive daemon does not delay the others.
        let polls: Vec<_> = behind
            .into_iter()
            .map(|(address, _)| (address, smol::spawn(poll(address))))
            .collect();
        let mut still_behind = Vec::new();
        for (address, task) in polls {
            match task.await {
                Poll::Revision(current) if current >= revision => {}
                poll => still_behind.push((address, poll)),
            }
        }
        behind = still_behind;
        if behind.is_empty() || Instant::now() >= deadline {
            return behind;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Polls a daemon for its revision.
async fn poll(address: SocketAddr) -> Poll {
    let timeout = async {
        Timer::after(POLL_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    match future::or(fetch_metrics(address), timeout).await {
        Ok(metrics) => parse_revision(&metrics).map_or(Poll::NoRevision, Poll::Revision),
        Err(error) => Poll::Failed(error),
    }
}

/// Parses the value of the gauge in the Prometheus text format.
fn parse_revision(metrics: &str) -> Option<u64> {
    let line = metrics
        .lines()
        .find_map(|line| line.strip_prefix(REVISION_GAUGE)?.strip_prefix(' '))?;
    // Prometheus values are floating-point numbers; revisions are far below 2^53.
    line.trim().parse::<f64>().ok().map(|value| value as u64)
}

/// Fetches the metrics of a daemon.
async fn fetch_metrics(address: SocketAddr) -> io::Result<String> {
    let stream = Async::<TcpStream>::connect(address).await?;
    let (mut sender, connection) =
        http1::handshake(FuturesIo::new(stream)).await.map_err(io::Error::other)?;
    let request = Request::get("/metrics")
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(io::Error::other)?;
    let response_body = async {
        let response = sender.send_request(request).await.map_err(io::Error::other)?;
        if response.status() != StatusCode::OK {
            return Err(io::Error::other(format!("answers {}", response.status())));
        }
        let body = Limited::new(response.into_body(), MAX_METRICS_BYTES).collect().await;
        let body = body.map_err(io::Error::other)?.to_bytes();
        Ok(String::from_utf8_lossy(&body).into_owned())
    };
    // `response_body` fails by itself when the connection ends, but may have to read the rest
    // of the body first, so the end of the connection must not end the race.
    let drive_connection = async {
        let _ = connection.await;
        future::pending().await
    };
    future::or(response_body, drive_connection).await
}
