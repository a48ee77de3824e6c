//! Structured logging to standard output: one JSON object per line.
//!
//! Logging never blocks the processing of segments: lines are written by a separate
//! thread that reads from a bounded queue. Events that exceed a rate limit are counted
//! instead of logged.

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

/// Capacity of the queue, about 1 MB. When it is full, lines are dropped and counted.
const QUEUE_LINES: usize = 4_096;

/// Sustained rate of lines per event. With 300 bytes per line and ten events, this
/// amounts to 60 KB/s.
const LINES_PER_S: u32 = 20;

/// Number of lines per event that may exceed the rate: enough for a change that affects
/// all flows of a small deployment.
const BURST_LINES: u32 = 200;

/// Maximum number of bytes in one write, unless a single line is longer. Pipes accept
/// this much atomically, so lines of processes that share a pipe don't mix, and readers
/// with small buffers don't lose any.
pub const MAX_WRITE_BYTES: usize = 4_096;

/// Interval between writes. Limits how often the thread wakes up.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum interval between lines that report suppressed lines, in milliseconds.
const SUPPRESSION_REPORT_MS: u64 = 1_000;

/// Installs the logger of a process.
///
/// The returned guard flushes the queue when it is dropped.
pub fn install(program: &'static str, node: &Name) -> Guard {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let writer =
        thread::Builder::new().name("lines".into()).spawn(|| write_lines(receiver));
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
                writeln!(out, "{}", format_suppressed(program, &node, &report))?;
            }
            if !is_admitted {
                return Ok(());
            }
            writeln!(out, "{}", format_record(program, &node, record))
        })
        .init();
    Guard { queue, writer: writer.ok() }
}

/// Flushes the queue when it is dropped.
#[derive(Debug)]
pub struct Guard {
    /// Sender of the queue. Taking it out closes the queue, which ends the writer thread.
    queue: Arc<Mutex<Option<SyncSender<Vec<u8>>>>>,
    /// The writer thread; `None` if it could not be started.
    writer: Option<JoinHandle<()>>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        *self.queue.lock() = None;
        if let Some(writer) = self.writer.take() {
            // If the writer has panicked, there is nothing left to do.
            let _ = writer.join();
        }
    }
}

/// Puts lines into the queue without blocking.
struct QueueWriter {
    /// Sender of the queue.
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

/// Writes lines in batches until the queue is closed.
fn write_lines(receiver: Receiver<Vec<u8>>) {
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
        // If standard output is closed, there is no way to report that.
        let _ = write_chunks(&buffer).try_for_each(|chunk| {
            out.write_all(chunk)?;
            out.flush()
        });
        buffer.clear();
    }
}

/// Splits text into chunks of whole lines with at most [`MAX_WRITE_BYTES`] bytes each.
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

/// Rate limits by event.
#[derive(Debug)]
struct RateLimits {
    /// Source of the current time.
    clock: Clock,
    /// Sorted by event name.
    events: Vec<RateLimit>,
    /// When suppressed lines were last reported, in milliseconds.
    reported_ms: u64,
}

/// The rate limit of one event.
#[derive(Debug)]
struct RateLimit {
    /// Name of the event.
    event: Name,
    /// The remaining budget of lines.
    budget: Budget,
    /// Number of lines suppressed since the last report.
    suppressed: u64,
}

impl RateLimits {
    /// Creates the limits without any events.
    fn new() -> Self {
        Self { clock: Clock::new(), events: Vec::new(), reported_ms: 0 }
    }

    /// Returns whether a line may be written, and the numbers of suppressed lines by
    /// event if they are due to be reported.
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

/// The fields that all lines have.
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

/// Formats a log record as a line.
fn format_record(program: &str, node: &Name, record: &Record<'_>) -> String {
    let mut fields = common_fields(program, node, record.target());
    fields.insert("level".into(), record.level().as_str().into());
    // The visitor never fails.
    let _ = record.key_values().visit(&mut Fields(&mut fields));
    fields.insert("message".into(), record.args().to_string().into());
    serde_json::Value::Object(fields).to_string()
}

/// Formats a line that reports how many lines of which events were suppressed.
fn format_suppressed(program: &str, node: &Name, events: &[(Name, u64)]) -> String {
    let mut fields = common_fields(program, node, "suppressed");
    for (event, count) in events {
        fields.insert(format!("{event}_lines"), (*count).into());
    }
    serde_json::Value::Object(fields).to_string()
}

/// Adds the key-value pairs of a record to a JSON object.
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
