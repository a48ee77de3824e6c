//! What clients and targets saw.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::SocketAddrV4;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

/// Client's and service's end of a flow.
pub type Flow = (SocketAddrV4, SocketAddrV4);

/// Something that a client or a target saw, with its time in milliseconds.
#[derive(Debug, Clone)]
pub struct Event {
    pub ms: f64,
    pub what: What,
}

#[derive(Debug, Clone)]
#[allow(dead_code, reason = "some fields are only written to the record")]
pub enum What {
    /// A client sent a copy of its opening packet.
    SentOpening { flow: Flow, copy: u32 },
    /// A target took an opening packet and answered it with SYN+ACK.
    TookOpening { flow: Flow, copy: u32, target: String },
    /// A client sent a request for the first time.
    SentRequest { flow: Flow, id: String },
    /// A target began to work on a request.
    Ran { flow: Flow, id: String, target: String, service: String },
    /// A client got a whole answer.
    Answered { id: String, by: String },
    /// A target has the end of a flow's handshake.
    Opened { flow: Flow, target: String },
    /// A client got a reset: whether it had opened the flow, whether a target sent the reset,
    /// and whether its sequence number lets the client accept it.
    Reset { flow: Flow, is_open: bool, is_genuine: bool, is_near: bool },
    /// A client's attempt ended without an answer or a reset.
    GaveUp { flow: Flow, is_open: bool },
    /// A target started or ended.
    Target { target: String, service: String, change: &'static str },
    /// Whatever else is of interest.
    Note { text: String },
}

struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
    events: Mutex<Vec<Event>>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

pub fn start(path: &std::path::Path) -> std::io::Result<()> {
    let file = Mutex::new(BufWriter::new(File::create(path)?));
    let record = Record { start: Instant::now(), file, events: Mutex::default() };
    let _ = RECORD.set(record);
    Ok(())
}

/// Milliseconds since the start of the record.
pub fn now() -> f64 {
    RECORD.get().map_or(0.0, |record| record.start.elapsed().as_secs_f64() * 1_000.0)
}

pub fn add(what: What) -> f64 {
    let Some(record) = RECORD.get() else { return 0.0 };
    let ms = now();
    let _ = writeln!(record.file.lock().unwrap(), "{ms:10.1} {what:?}");
    record.events.lock().unwrap().push(Event { ms, what });
    ms
}

pub fn note(text: impl Into<String>) -> f64 {
    add(What::Note { text: text.into() })
}

pub fn events() -> Vec<Event> {
    RECORD.get().map(|record| record.events.lock().unwrap().clone()).unwrap_or_default()
}

/// Writes a line of the result to the record and to the standard output.
pub fn say(text: &str) {
    println!("{text}");
    if let Some(record) = RECORD.get() {
        let mut file = record.file.lock().unwrap();
        let _ = writeln!(file, "{text}");
        let _ = file.flush();
    }
}
