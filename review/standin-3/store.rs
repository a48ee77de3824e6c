//! The platform's metadata store, as PROTOCOL.md and the passage of letter 10 describe it.
//!
//! Each machine reaches it at an address of its own, so that it can turn single machines away.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::json::{Json, base64, quote};

/// Time until an answer, as on the sheets.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// What a copy of the store contains.
#[derive(Clone)]
pub struct Data {
    items: BTreeMap<String, Item>,
    /// Revision, key, and the item unless it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    /// Time to live and end of each lease.
    leases: BTreeMap<u64, (Duration, Instant)>,
}

struct State {
    data: Data,
    era: u64,
    last_lease: u64,
    /// Names of the machines that are turned away with 503.
    rejected: Vec<String>,
    /// Whether the store answers nobody.
    is_away: bool,
    calls: u64,
    refused: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn new() -> Arc<Self> {
        let data = Data {
            items: BTreeMap::new(),
            history: Vec::new(),
            revision: 1,
            leases: BTreeMap::new(),
        };
        let state = State {
            data,
            era: 1,
            last_lease: 1000,
            rejected: Vec::new(),
            is_away: false,
            calls: 0,
            refused: 0,
        };
        let store = Arc::new(Self { state: Mutex::new(state), changed: Condvar::new() });
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(100));
                expiring.state.lock().unwrap().expire();
                expiring.changed.notify_all();
            }
        });
        store
    }

    /// Serves one machine at an address.
    pub fn listen(
        self: &Arc<Self>,
        machine: &str,
        address: SocketAddr,
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let (store, machine) = (self.clone(), machine.to_owned());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, machine) = (store.clone(), machine.clone());
                std::thread::spawn(move || store.serve(&machine, stream));
            }
        });
        Ok(())
    }

    /// Writes a key of the operator. Returns the revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        let revision = state.data.revision + 1;
        state.data.put(key, base64(value.as_bytes()), 0, revision);
        state.data.revision = revision;
        self.changed.notify_all();
        revision
    }

    /// A copy of what the store contains now.
    pub fn copy(&self) -> Data {
        self.state.lock().unwrap().data.clone()
    }

    pub fn set_away(&self, is_away: bool) {
        self.state.lock().unwrap().is_away = is_away;
        self.changed.notify_all();
    }

    /// Comes back from a copy: what was written since is gone, leases too.
    pub fn restore(&self, copy: Data) {
        let mut state = self.state.lock().unwrap();
        state.data = copy;
        state.era += 1;
    }

    /// Turns some machines away, and serves all others.
    pub fn reject(&self, machines: &[&str]) {
        let mut state = self.state.lock().unwrap();
        state.rejected = machines.iter().map(|name| (*name).to_owned()).collect();
        self.changed.notify_all();
    }

    pub fn revision(&self) -> u64 {
        self.state.lock().unwrap().data.revision
    }

    /// Number of calls so far, and of those that were turned away.
    pub fn calls(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        (state.calls, state.refused)
    }

    fn serve(&self, machine: &str, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        loop {
            let mut head = String::new();
            loop {
                let mut line = String::new();
                match reader.read_line(&mut line) {
                    Ok(0) | Err(_) => return,
                    Ok(_) if line.trim().is_empty() => break,
                    Ok(_) => head.push_str(&line),
                }
            }
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                let is_length = name.eq_ignore_ascii_case("content-length");
                is_length.then(|| value.trim().parse::<usize>().ok()).flatten()
            });
            let mut body = vec![0; length.unwrap_or(0)];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            let mut words = head.split_whitespace();
            let (method, target) = (
                words.next().unwrap_or("").to_owned(),
                words.next().unwrap_or("").to_owned(),
            );
            let body = String::from_utf8_lossy(&body).into_owned();
            let Some((status, text)) = self.answer(machine, &method, &target, &body)
            else {
                return;
            };
            let era = self.state.lock().unwrap().era;
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Answers one call; `None` if the connection ends without an answer.
    fn answer(
        &self,
        machine: &str,
        method: &str,
        target: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let call = path.strip_prefix("/lentilreach/").unwrap_or("");
        let json = Json::parse(body).unwrap_or(Json::Null);
        std::thread::sleep(ANSWER_TIME);
        let mut state = self.state.lock().unwrap();
        state.calls += 1;
        state.expire();
        if state.is_away {
            state.refused += 1;
            return None;
        }
        if state.is_rejected(machine) {
            return Some((503, "{}".into()));
        }
        if call == "kv-watch" {
            let after = field("after").parse().unwrap_or(0);
            let wait_ms = field("waitMs").parse().unwrap_or(0);
            let end = Instant::now() + Duration::from_millis(wait_ms);
            let prefix = field("prefix");
            loop {
                if state.is_away {
                    return None;
                }
                if state.is_rejected(machine) {
                    return Some((503, "{}".into()));
                }
                if after > state.data.revision {
                    state.refused += 1;
                    return Some((410, "{}".into()));
                }
                let events = state.data.events(&prefix, after);
                let left = end.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let (events, now) = (events.join(","), state.data.revision);
                    let text = format!("{{\"events\":[{events}],\"currentRev\":{now}}}");
                    return Some((200, text));
                }
                state = self.changed.wait_timeout(state, left).unwrap().0;
            }
        }
        let answer = state.answer(method, call, &json, &field);
        drop(state);
        self.changed.notify_all();
        Some(answer)
    }
}

impl State {
    /// Counts a call of a machine that is turned away.
    fn is_rejected(&mut self, machine: &str) -> bool {
        let is_rejected = self.rejected.iter().any(|name| name == machine);
        self.refused += u64::from(is_rejected);
        is_rejected
    }

    fn expire(&mut self) {
        if self.is_away {
            // Leases pause.
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = self
            .data
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.data.end_lease(lease);
        }
    }

    fn answer(
        &mut self,
        method: &str,
        call: &str,
        json: &Json,
        field: &dyn Fn(&str) -> String,
    ) -> (u16, String) {
        let data = &mut self.data;
        let (name, id) = call.split_once('/').unwrap_or((call, ""));
        let id: u64 = id.parse().unwrap_or(0);
        match (method, name) {
            ("GET", "kv-key") => match data.items.get(&field("key")) {
                Some(item) => (200, item.json(&field("key"))),
                None => (404, "{}".into()),
            },
            ("GET", "kv-range") => {
                let (prefix, after) = (field("prefix"), field("after"));
                let found = data.items.iter();
                let found =
                    found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let mut items: Vec<_> = found.map(|(key, item)| item.json(key)).collect();
                let has_more = items.len() > 500;
                items.truncate(500);
                let (items, now) = (items.join(","), data.revision);
                let text = format!(
                    "{{\"items\":[{items}],\"hasMore\":{has_more},\"currentRev\":{now}}}"
                );
                (200, text)
            }
            ("POST", "kv-txn") => {
                let rows = json.get("expectedRev").list();
                let holds = rows.iter().all(|row| {
                    let known = data.items.get(row.get("key").text());
                    known.map_or(0, |item| item.revision) == row.get("revision").number()
                });
                if !holds {
                    let items: Vec<_> = rows
                        .iter()
                        .filter_map(|row| {
                            let key = row.get("key").text();
                            Some(data.items.get(key)?.json(key))
                        })
                        .collect();
                    return (412, format!("{{\"items\":[{}]}}", items.join(",")));
                }
                let puts = json.get("puts").list();
                let has_lease = |put: &Json| {
                    let lease = put.get("lease").number();
                    lease == 0 || data.leases.contains_key(&lease)
                };
                if !puts.iter().all(has_lease) {
                    return (404, "{}".into());
                }
                let revision = data.revision + 1;
                for put in puts {
                    let value = put.get("value").text().to_owned();
                    data.put(
                        put.get("key").text(),
                        value,
                        put.get("lease").number(),
                        revision,
                    );
                }
                for key in json.get("deletes").list() {
                    data.remove(key.text(), revision);
                }
                data.revision = revision;
                (200, format!("{{\"revision\":{revision}}}"))
            }
            ("POST", "kv-lease") => {
                let ttl_ms = json.get("ttlMs").number().max(1_000);
                self.last_lease += 1;
                let ttl = Duration::from_millis(ttl_ms);
                data.leases.insert(self.last_lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{},\"ttlMs\":{ttl_ms}}}", self.last_lease))
            }
            ("POST", "kv-keep") => match data.leases.get_mut(&id) {
                Some((ttl, end)) => {
                    *end = Instant::now() + *ttl;
                    (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
                }
                None => (404, "{}".into()),
            },
            ("DELETE", "kv-lease-end") => {
                let is_known = data.leases.contains_key(&id);
                data.end_lease(id);
                (if is_known { 200 } else { 404 }, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }
}

impl Data {
    fn put(&mut self, key: &str, value: String, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.history.push((revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound =
            self.items.iter().filter(|(_, item)| item.lease == lease && lease != 0);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            let revision = self.revision + 1;
            keys.iter().for_each(|key| self.remove(key, revision));
            self.revision = revision;
        }
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<String> {
        let later = self
            .history
            .iter()
            .filter(|(at, key, _)| *at > after && key.starts_with(prefix));
        later
            .map(|(revision, key, item)| match item {
                Some(item) => item.json(key),
                None => format!(
                    "{{\"key\":{},\"revision\":{revision},\"tombstone\":true}}",
                    quote(key)
                ),
            })
            .collect()
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        format!(
            "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
            quote(key),
            self.value,
            self.revision,
            self.created,
            self.lease
        )
    }
}

/// Decodes percent-encoding.
fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match (bytes[at], hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
