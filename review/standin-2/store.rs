//! A stand-in for the platform's metadata store, with the calls of PROTOCOL.md that the
//! system makes. Each machine reaches it through a port of its own, so that single machines
//! can be turned away.

use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A port answers as usual.
pub const SERVE: u8 = 0;
/// A port answers every call with 503: nothing was done.
pub const BUSY: u8 = 1;

/// A key with its value.
#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: i64,
}

/// A change of a key; `None` is a deletion.
struct Event {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    revision: u64,
    leases: HashMap<i64, (Duration, Instant)>,
    next_lease: i64,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

/// A port of the store.
#[derive(Clone)]
pub struct Port {
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl Port {
    /// Sets how the port answers.
    pub fn set(&self, mode: u8) {
        self.mode.store(mode, Ordering::SeqCst);
    }
}

impl Store {
    pub fn new() -> Self {
        let state = State { revision: 100, next_lease: 5, ..State::default() };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())) };
        let sweeper = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                sweeper.sweep();
            }
        });
        store
    }

    /// Opens a port at an address.
    pub fn open(&self, ip: &str) -> Port {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("bound");
        let port = Port { address, mode: Arc::new(AtomicU8::new(SERVE)) };
        let (store, mode) = (self.clone(), port.mode.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, mode) = (store.clone(), mode.clone());
                thread::spawn(move || {
                    let _ = store.serve(stream, &mode);
                });
            }
        });
        port
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.write(key, base64(value.as_bytes()), 0, revision);
        self.state.1.notify_all();
    }

    fn sweep(&self) {
        let mut state = self.state.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<i64> =
            state.leases.iter().filter(|(_, l)| l.1 < now).map(|(id, _)| *id).collect();
        for lease in ended {
            state.end_lease(lease);
            self.state.1.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream, mode: &AtomicU8) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some((method, path, body)) = read_request(&mut stream, &mut buffer)? {
            let (status, answer) = match mode.load(Ordering::SeqCst) {
                BUSY => (503, "{}".to_owned()),
                _ => self.call(&method, &path, &body),
            };
            thread::sleep(Duration::from_millis(4));
            let head = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                answer.len()
            );
            stream.write_all((head + &answer).as_bytes())?;
        }
        Ok(())
    }

    fn call(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let argument = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| unescape(value))
        };
        let number =
            |name: &str| argument(name).and_then(|text| text.parse::<u64>().ok());
        match (method, path) {
            ("GET", "/lentilreach/kv-range") => {
                let state = self.state.0.lock().unwrap();
                let prefix = argument("prefix").unwrap_or_default();
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix))
                    .map(|(key, item)| item.json(key))
                    .collect();
                let items = items.join(",");
                let revision = state.revision;
                (
                    200,
                    format!(
                        r#"{{"items":[{items}],"hasMore":false,"currentRev":{revision}}}"#
                    ),
                )
            }
            ("GET", "/lentilreach/kv-watch") => {
                let prefix = argument("prefix").unwrap_or_default();
                let after = number("after").unwrap_or(0);
                let wait =
                    Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
                let end = Instant::now() + wait;
                let mut state = self.state.0.lock().unwrap();
                loop {
                    let events: Vec<String> = state
                        .events
                        .iter()
                        .filter(|event| {
                            event.revision > after && event.key.starts_with(&prefix)
                        })
                        .map(Event::json)
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, revision) = (events.join(","), state.revision);
                        return (
                            200,
                            format!(r#"{{"events":[{events}],"currentRev":{revision}}}"#),
                        );
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/lentilreach/kv-lease") => {
                let mut state = self.state.0.lock().unwrap();
                let ttl = parse(body).get("ttlMs").number();
                state.next_lease += 1;
                let lease = state.next_lease;
                let time = Duration::from_millis(ttl);
                state.leases.insert(lease, (time, Instant::now() + time));
                (200, format!(r#"{{"lease":{lease},"ttlMs":{ttl}}}"#))
            }
            ("POST", "/lentilreach/kv-txn") => self.transaction(&parse(body)),
            _ if path.starts_with("/lentilreach/kv-keep/") => {
                let mut state = self.state.0.lock().unwrap();
                let lease =
                    path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((time, end)) => {
                        *end = Instant::now() + *time;
                        (200, format!(r#"{{"ttlMs":{}}}"#, time.as_millis()))
                    }
                    None => (404, "{}".into()),
                }
            }
            _ if path.starts_with("/lentilreach/kv-lease-end/") => {
                let mut state = self.state.0.lock().unwrap();
                let lease =
                    path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                let known = state.leases.contains_key(&lease);
                state.end_lease(lease);
                self.state.1.notify_all();
                (if known { 200 } else { 404 }, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn transaction(&self, txn: &Json) -> (u16, String) {
        let mut state = self.state.0.lock().unwrap();
        let expected = txn.get("expectedRev").list();
        let revision_of =
            |state: &State, key: &str| state.items.get(key).map_or(0, |i| i.revision);
        let holds = expected.iter().all(|row| {
            revision_of(&state, row.get("key").text()) == row.get("revision").number()
        });
        if !holds {
            let rows: Vec<String> = expected
                .iter()
                .map(|row| {
                    let key = row.get("key").text();
                    match state.items.get(key) {
                        Some(item) => item.json(key),
                        None => format!(r#"{{"key":"{key}","revision":0}}"#),
                    }
                })
                .collect();
            return (412, format!(r#"{{"items":[{}]}}"#, rows.join(",")));
        }
        let puts = txn.get("puts").list();
        let lease_of = |put: &Json| put.get("lease").number() as i64;
        if puts
            .iter()
            .any(|p| lease_of(p) != 0 && !state.leases.contains_key(&lease_of(p)))
        {
            return (404, "{}".into());
        }
        state.revision += 1;
        let revision = state.revision;
        for put in puts {
            let value = put.get("value").text().to_owned();
            state.write(put.get("key").text(), value, lease_of(put), revision);
        }
        for key in txn.get("deletes").list() {
            state.delete(key.text(), revision);
        }
        self.state.1.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: i64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event { key: key.to_owned(), revision, item: Some(item) });
    }

    fn delete(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.events.push(Event { key: key.to_owned(), revision, item: None });
        }
    }

    fn end_lease(&mut self, lease: i64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let attached = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        let revision = self.revision;
        for key in keys {
            self.delete(&key, revision);
        }
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        let Self { value, revision, created, lease } = self;
        format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":{lease}}}"#
        )
    }
}

impl Event {
    fn json(&self) -> String {
        match &self.item {
            Some(item) => item.json(&self.key),
            None => {
                let (key, revision) = (&self.key, self.revision);
                format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#)
            }
        }
    }
}

/// Reads one HTTP request: its method, path and body.
pub fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<(String, String, String)>> {
    let mut chunk = [0; 4_096];
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut length = 0;
            for line in head.lines() {
                let line = line.to_ascii_lowercase();
                if let Some(value) = line.strip_prefix("content-length:") {
                    length = value.trim().parse().unwrap_or(0);
                }
            }
            if buffer.len() >= end + 4 + length {
                let body = String::from_utf8_lossy(&buffer[end + 4..end + 4 + length])
                    .into_owned();
                buffer.drain(..end + 4 + length);
                let mut words = head.split(' ');
                let method = words.next().unwrap_or_default().to_owned();
                let path = words.next().unwrap_or_default().to_owned();
                return Ok(Some((method, path, body)));
            }
        }
        let read = stream.read(&mut chunk)?;
        if read == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..read]);
    }
}

/// Encodes bytes as standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8] =
        b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(*group.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            let sign = SIGNS[(bits >> (18 - 6 * index)) as usize & 63] as char;
            text.push(if index <= group.len() { sign } else { '=' });
        }
    }
    text
}

/// Decodes percent escapes.
fn unescape(text: &str) -> String {
    let (mut bytes, raw) = (Vec::new(), text.as_bytes());
    let mut index = 0;
    while index < raw.len() {
        if raw[index] == b'%' && index + 2 < raw.len() {
            bytes.push(
                u8::from_str_radix(&text[index + 1..index + 3], 16).unwrap_or(b'?'),
            );
            index += 3;
        } else {
            bytes.push(raw[index]);
            index += 1;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// The JSON values that occur in the bodies of calls.
#[derive(Debug)]
enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(rows) => {
                rows.iter().find(|row| row.0 == key).map_or(&Json::Null, |row| &row.1)
            }
            _ => &Json::Null,
        }
    }

    fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }

    fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }
}

/// Parses a body that the system has written.
fn parse(text: &str) -> Json {
    let mut rest = text.as_bytes();
    value(&mut rest)
}

fn value(rest: &mut &[u8]) -> Json {
    space(rest);
    match rest.first() {
        Some(b'{') => {
            *rest = &rest[1..];
            let mut rows = Vec::new();
            while !ends(rest, b'}') {
                let Json::Text(key) = value(rest) else { break };
                ends(rest, b':');
                rows.push((key, value(rest)));
                ends(rest, b',');
            }
            Json::Table(rows)
        }
        Some(b'[') => {
            *rest = &rest[1..];
            let mut list = Vec::new();
            while !ends(rest, b']') {
                list.push(value(rest));
                ends(rest, b',');
            }
            Json::List(list)
        }
        Some(b'"') => {
            let end = rest[1..].iter().position(|b| *b == b'"').unwrap_or(rest.len() - 1);
            let text = String::from_utf8_lossy(&rest[1..=end]).into_owned();
            *rest = &rest[(end + 2).min(rest.len())..];
            Json::Text(text)
        }
        _ => {
            let end = rest.iter().position(|b| b",]}".contains(b)).unwrap_or(rest.len());
            let text = String::from_utf8_lossy(&rest[..end]).trim().to_owned();
            *rest = &rest[end..];
            text.parse().map_or(Json::Null, Json::Number)
        }
    }
}

fn space(rest: &mut &[u8]) {
    while rest.first().is_some_and(u8::is_ascii_whitespace) {
        *rest = &rest[1..];
    }
}

/// Skips a sign if it comes next. At the end of the text, every sign does.
fn ends(rest: &mut &[u8], sign: u8) -> bool {
    space(rest);
    let is_next = rest.first().is_none_or(|next| *next == sign);
    if is_next && !rest.is_empty() {
        *rest = &rest[1..];
    }
    is_next
}
