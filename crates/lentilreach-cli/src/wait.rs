//! Waits until a change is in force at the daemons that the operator names.

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

/// The gauge of a daemon that holds the revision in force.
const GAUGE: &str = "lentilreach_config_revision";

/// Time between two looks at a daemon.
const PAUSE: Duration = Duration::from_millis(200);

/// Time for one look at a daemon.
const LOOK: Duration = Duration::from_secs(2);

/// Longest page of metrics in bytes.
const MAX_PAGE: usize = 1 << 20;

/// The options that make a command wait.
pub fn args() -> [Arg; 3] {
    let wait = Arg::new("wait")
        .long("wait")
        .help("Wait until the change is in force at every daemon named by --admin")
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
        .help("Longest wait; a change is expected in force everywhere after 7 s")
        .default_value("30")
        .value_parser(value_parser!(u64).range(1..=3_600));
    [wait, admin, timeout]
}

/// Waits until a change that took effect is in force, if the options say so.
///
/// The reply stays as it is if there is nothing to wait for. It becomes unknown if a daemon
/// is still behind when the time is up.
pub fn wait(matches: &ArgMatches, outcome: &Outcome, reply: Reply) -> Reply {
    let Outcome::Done { revision, .. } = outcome else { return reply };
    if !matches.get_flag("wait") {
        return reply;
    }
    let daemons: Vec<SocketAddr> =
        matches.get_many("admin").unwrap_or_default().copied().collect();
    let seconds = matches.get_one("timeout").copied().unwrap_or(30);
    let deadline = Instant::now() + Duration::from_secs(seconds);
    let behind = future::block_on(watch(daemons, *revision, deadline));
    if behind.is_empty() {
        let line = format!("in force at all daemons named, revision {revision}");
        return reply.with(Status::Done, &line, "in_force", true.into());
    }
    let list: Vec<_> =
        behind.iter().map(|(address, look)| format!("\n  {address}: {look}")).collect();
    let line = format!("not in force after {seconds} s at:{}", list.concat());
    reply.with(Status::Unknown, &line, "in_force", false.into())
}

/// What a daemon said last.
#[derive(Debug)]
enum Look {
    /// The revision in force there.
    At(u64),
    /// It does not report a revision.
    Silent,
    /// It cannot be asked.
    Failed(io::Error),
}

impl Display for Look {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::At(revision) => write!(f, "revision {revision}"),
            Self::Silent => write!(f, "its metrics have no {GAUGE}"),
            Self::Failed(error) => write!(f, "cannot be reached: {error}"),
        }
    }
}

/// Looks at the daemons until all have the revision; returns those that are behind.
async fn watch(
    daemons: Vec<SocketAddr>,
    revision: u64,
    deadline: Instant,
) -> Vec<(SocketAddr, Look)> {
    let mut behind: Vec<_> = daemons.into_iter().map(|a| (a, Look::Silent)).collect();
    loop {
        // All at once, so that one daemon that hangs does not delay the others.
        let looks: Vec<_> = behind
            .into_iter()
            .map(|(address, _)| (address, smol::spawn(look(address))))
            .collect();
        let mut still = Vec::new();
        for (address, task) in looks {
            match task.await {
                Look::At(at) if at >= revision => {}
                look => still.push((address, look)),
            }
        }
        behind = still;
        if behind.is_empty() || Instant::now() >= deadline {
            return behind;
        }
        Timer::after(PAUSE).await;
    }
}

/// Asks a daemon for its revision.
async fn look(address: SocketAddr) -> Look {
    let timeout = async {
        Timer::after(LOOK).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    match future::or(page(address), timeout).await {
        Ok(page) => revision(&page).map_or(Look::Silent, Look::At),
        Err(error) => Look::Failed(error),
    }
}

/// The value of the gauge in a page of metrics.
fn revision(page: &str) -> Option<u64> {
    let line =
        page.lines().find_map(|line| line.strip_prefix(GAUGE)?.strip_prefix(' '))?;
    // Prometheus values are floating-point numbers; revisions are far below 2^53.
    line.trim().parse::<f64>().ok().map(|value| value as u64)
}

/// Fetches a daemon's page of metrics.
async fn page(address: SocketAddr) -> io::Result<String> {
    let stream = Async::<TcpStream>::connect(address).await?;
    let (mut sender, connection) =
        http1::handshake(FuturesIo::new(stream)).await.map_err(io::Error::other)?;
    let request = Request::get("/metrics")
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(io::Error::other)?;
    let exchange = async {
        let response = sender.send_request(request).await.map_err(io::Error::other)?;
        if response.status() != StatusCode::OK {
            return Err(io::Error::other(format!("answers {}", response.status())));
        }
        let body = Limited::new(response.into_body(), MAX_PAGE).collect().await;
        let body = body.map_err(io::Error::other)?.to_bytes();
        Ok(String::from_utf8_lossy(&body).into_owned())
    };
    // The exchange itself ends with an error when the connection does; until then it may
    // still have the end of the body to read.
    let drive = async {
        let _ = connection.await;
        future::pending().await
    };
    future::or(exchange, drive).await
}
