//! Structured log lines on standard output: one JSON object a line.
//!
//! Writing never blocks the path of a segment: lines go through a bounded queue to a thread,
//! and lines of one event beyond a rate are counted instead of written.

use crate::process::metric;
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use env_logger::{Builder, Target};
use lentilreach::Name;
use lentilreach::process::clock::{Clock, wall_ms};
use lentilreach::process::store::budget::Budget;
use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use parking_lot::Mutex;
use serde_json::Map;

/// Lines that wait for the writer; about 1 MB. More are dropped and counted.
const QUEUE_LINES: usize = 4_096;

/// Lines of one event a second. At 300 bytes a line and ten events, 60 KB/s.
const LINES_PER_S: u32 = 20;

/// Lines of one event at once: what follows a change of all flows of a small deployment.
const BURST_LINES: u32 = 200;

/// Most bytes in one write, unless a line is longer: what a pipe takes as a whole. Lines of
/// processes that share a pipe do not mix, and readers with small buffers lose none.
pub const MAX_WRITE_BYTES: usize = 4_096;

/// Time between two writes. Bounds how often the thread wakes.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// Time between lines that report suppressed ones, in milliseconds.
const SUPPRESSION_REPORT_MS: u64 = 1_000;

/// Installs the logger of a process.
///
/// The returned guard writes what is left when it is dropped.
pub fn install(program: &'static str, node: &Name) -> Guard {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let writer = thread::Builder::new().name("lines".into()).spawn(|| write(receiver));
    let queue = Arc::new(Mutex::new(Some(sender)));
    let limits = Mutex::new(RateLimits::new());
    let node = node.clone();
    Builder::new()
        .filter_level(LevelFilter::Info)
        .target(Target::Pipe(Box::new(QueueWriter { queue: queue.clone() })))
        .write_style(env_logger::WriteStyle::Never)
        .format(move |out, record| {
            let (is_admitted, report) = limits.lock().admit(record.target());
            if let Some(report) = report {
                writeln!(out, "{}", suppressed(program, &node, &report))?;
            }
            if !is_admitted {
                return Ok(());
            }
            writeln!(out, "{}", line(program, &node, record))
        })
        .init();
    Guard { queue, writer: writer.ok() }
}

/// Writes what is left when it is dropped.
#[derive(Debug)]
pub struct Guard {
    /// Closed to end the writer.
    queue: Arc<Mutex<Option<SyncSender<Vec<u8>>>>>,
    /// The writer; none if the system refused the thread.
    writer: Option<JoinHandle<()>>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        *self.queue.lock() = None;
        if let Some(writer) = self.writer.take() {
            // A panic of the writer leaves nothing to do.
            let _ = writer.join();
        }
    }
}

/// Puts lines into the queue without waiting.
struct QueueWriter {
    /// To the writer.
    queue: Arc<Mutex<Option<SyncSender<Vec<u8>>>>>,
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let queue = self.queue.lock();
        let sent = queue.as_ref().map(|sender| sender.try_send(bytes.to_vec()));
        if !matches!(sent, Some(Ok(()))) {
            metric::count(&metric::LINES_DROPPED);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the queue is closed, many at a time.
fn write(receiver: Receiver<Vec<u8>>) {
    let mut out = io::stdout().lock();
    let mut buffer = Vec::new();
    while let Ok(first) = receiver.recv() {
        buffer.extend(first);
        let mut is_open = true;
        match receiver.recv_timeout(FLUSH_INTERVAL) {
            Ok(next) => buffer.extend(next),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => is_open = false,
        }
        if is_open {
            thread::sleep(FLUSH_INTERVAL);
        }
        while let Ok(next) = receiver.try_recv() {
            buffer.extend(next);
        }
        // Nobody is left to tell if standard output is closed.
        let _ = write_chunks(&buffer).try_for_each(|chunk| {
            out.write_all(chunk)?;
            out.flush()
        });
        buffer.clear();
    }
}

/// Cuts lines into pieces of whole lines of at most [`MAX_WRITE_BYTES`] bytes.
pub fn write_chunks(mut lines: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        let end = |bytes: &[u8]| bytes.iter().position(|byte| *byte == b'\n');
        let whole = lines.len().min(MAX_WRITE_BYTES);
        let last = lines[..whole].iter().rposition(|byte| *byte == b'\n');
        let last = if whole == lines.len() { None } else { last.or_else(|| end(lines)) };
        let (chunk, rest) = lines.split_at(last.map_or(lines.len(), |last| last + 1));
        lines = rest;
        (!chunk.is_empty()).then_some(chunk)
    })
}

/// Rates of events.
#[derive(Debug)]
struct RateLimits {
    /// Reads the time.
    clock: Clock,
    /// Sorted by event.
    events: Vec<RateLimit>,
    /// When suppressed lines were reported last, in milliseconds.
    reported_ms: u64,
}

/// The rate of one event.
#[derive(Debug)]
struct RateLimit {
    /// The event.
    event: Name,
    /// Admits its lines.
    budget: Budget,
    /// Lines left out since the last report.
    suppressed: u64,
}

impl RateLimits {
    /// No event yet.
    fn new() -> Self {
        Self { clock: Clock::new(), events: Vec::new(), reported_ms: 0 }
    }

    /// Whether a line may be written, and what to report of those that were not.
    fn admit(&mut self, event: &str) -> (bool, Option<Vec<(Name, u64)>>) {
        let now = self.clock.now();
        let found = self.events.binary_search_by(|limit| (*limit.event).cmp(event));
        let index = found.unwrap_or_else(|index| {
            let budget = Budget::new(LINES_PER_S, BURST_LINES);
            self.events
                .insert(index, RateLimit { event: event.into(), budget, suppressed: 0 });
            index
        });
        let limit = &mut self.events[index];
        let is_admitted = limit.budget.reserve(now, 0).is_ok();
        limit.suppressed += u64::from(!is_admitted);
        if now.0.saturating_sub(self.reported_ms) < SUPPRESSION_REPORT_MS {
            return (is_admitted, None);
        }
        self.reported_ms = now.0;
        let left_out: Vec<_> = self
            .events
            .iter_mut()
            .filter(|limit| limit.suppressed > 0)
            .map(|limit| (limit.event.clone(), std::mem::take(&mut limit.suppressed)))
            .collect();
        (is_admitted, (!left_out.is_empty()).then_some(left_out))
    }
}

/// The fields that every line has.
fn common_fields(
    program: &str,
    node: &Name,
    event: &str,
) -> Map<String, serde_json::Value> {
    let mut fields = Map::new();
    fields.insert("time_ms".into(), wall_ms().into());
    fields.insert("node".into(), (**node).into());
    fields.insert("program".into(), program.into());
    fields.insert("event".into(), event.into());
    fields
}

/// A line for a record.
fn line(program: &str, node: &Name, record: &Record<'_>) -> String {
    let mut fields = common_fields(program, node, record.target());
    fields.insert("level".into(), record.level().as_str().into());
    // A visitor that cannot fail.
    let _ = record.key_values().visit(&mut Fields(&mut fields));
    fields.insert("message".into(), record.args().to_string().into());
    serde_json::Value::Object(fields).to_string()
}

/// A line that tells how many lines of which events were left out.
fn suppressed(program: &str, node: &Name, events: &[(Name, u64)]) -> String {
    let mut fields = common_fields(program, node, "suppressed");
    for (event, count) in events {
        fields.insert(format!("{event}_lines"), (*count).into());
    }
    serde_json::Value::Object(fields).to_string()
}

/// Adds the fields of a record.
struct Fields<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> Result<(), kv::Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (_, Some(flag)) => flag.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
