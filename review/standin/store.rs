//! The platform's metadata store.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Json, Request};

/// Age of the state that a read with `allowStale` returns. The pages allow seconds.
const STALE: Duration = Duration::from_secs(3);

/// Time of an answer, as on the users' sheet.
const ANSWER: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    /// In base64, as it was written.
    value: String,
    revision: u64,
    created: u64,
    lease: i64,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Each change: revision, key, the item or `None` for a deletion.
    events: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<i64, (Instant, Duration)>,
    next_lease: i64,
    /// The state after each change, latest last.
    past: VecDeque<(Instant, u64, BTreeMap<String, Item>)>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// While set, no call is answered, and the connection of each such call returns
    /// nothing further.
    silent: AtomicBool,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let state = State {
            revision: 10,
            items: BTreeMap::new(),
            events: Vec::new(),
            leases: HashMap::new(),
            next_lease: 1,
            past: VecDeque::new(),
        };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            silent: AtomicBool::new(false),
        });
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        let shared = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                shared.end_leases();
            }
        });
        Ok(store)
    }

    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, SeqCst);
        self.changed.notify_all();
    }

    /// Writes a key for the operator. The return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.put(key, http::base64(value.as_bytes()), 0);
        state.commit();
        self.changed.notify_all();
    }

    fn end_leases(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<i64> = state
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            state.end_lease(lease);
            self.changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut stream) {
            thread::sleep(ANSWER);
            let answer = self.answer(&request);
            let Some((status, body)) = answer.filter(|_| !self.silent.load(SeqCst))
            else {
                // The response is lost. The connection stays, and returns nothing further.
                loop {
                    thread::sleep(Duration::from_secs(60));
                }
            };
            if http::respond(&mut stream, status, &body).is_err() {
                return;
            }
        }
    }

    /// Answers a call; `None` if it gets no answer.
    fn answer(&self, request: &Request) -> Option<(u16, String)> {
        if self.silent.load(SeqCst) {
            return None;
        }
        let target = &request.target;
        let path = target.split('?').next().unwrap_or_default();
        let body = Json::parse(std::str::from_utf8(&request.body).unwrap_or(""))
            .unwrap_or(Json::Null);
        let last = path
            .rsplit('/')
            .next()
            .and_then(|word| word.parse::<i64>().ok())
            .unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        Some(match path.trim_start_matches("/lentilreach/") {
            "kv-range" => {
                let prefix = http::query(target, "prefix").unwrap_or_default();
                let is_stale = http::query(target, "allowStale").is_some();
                let (revision, items) = state.read(is_stale);
                let after = http::query(target, "after").unwrap_or_default();
                let list: Vec<String> = items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| item.json(key))
                    .collect();
                let text = list.join(",");
                (
                    200,
                    format!(
                        "{{\"items\":[{text}],\"hasMore\":false,\"currentRev\":{revision}}}"
                    ),
                )
            }
            "kv-watch" => {
                let prefix = http::query(target, "prefix").unwrap_or_default();
                let number =
                    |name| http::query(target, name).and_then(|n| n.parse::<u64>().ok());
                let after = number("after").unwrap_or(0);
                let end =
                    Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
                loop {
                    if self.silent.load(SeqCst) {
                        return None;
                    }
                    let list: Vec<String> = state
                        .events
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key, item)| match item {
                            Some(item) => item.json(key),
                            None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !list.is_empty() || left.is_zero() {
                        let (text, revision) = (list.join(","), state.revision);
                        break (
                            200,
                            format!("{{\"events\":[{text}],\"currentRev\":{revision}}}"),
                        );
                    }
                    state = self
                        .changed
                        .wait_timeout(state, left.min(Duration::from_millis(100)))
                        .unwrap()
                        .0;
                }
            }
            "kv-txn" => {
                let puts = body.get("puts").list();
                let is_lapsed = |put: &Json| {
                    let lease = put.get("lease").number() as i64;
                    lease != 0 && !state.leases.contains_key(&lease)
                };
                if puts.iter().any(is_lapsed) {
                    return Some((404, "{}".into()));
                }
                for put in puts {
                    let (key, value) = (put.get("key").text(), put.get("value").text());
                    state.put(key, value.to_owned(), put.get("lease").number() as i64);
                }
                for key in body.get("deletes").list() {
                    state.delete(key.text());
                }
                state.commit();
                self.changed.notify_all();
                (200, format!("{{\"revision\":{}}}", state.revision))
            }
            "kv-lease" => {
                let ttl = Duration::from_millis(body.get("ttlMs").number() as u64);
                let lease = state.next_lease;
                state.next_lease += 1;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{}}}", ttl.as_millis()))
            }
            path if path.starts_with("kv-keep/") => match state.leases.get_mut(&last) {
                Some((end, ttl)) => {
                    *end = Instant::now() + *ttl;
                    (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
                }
                None => (404, "{}".into()),
            },
            path if path.starts_with("kv-lease-end/") => {
                state.end_lease(last);
                self.changed.notify_all();
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        })
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: i64) {
        let revision = self.revision + 1;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.events.push((revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision + 1, key.to_owned(), None));
        }
    }

    fn commit(&mut self) {
        self.revision += 1;
        self.past.push_back((Instant::now(), self.revision, self.items.clone()));
    }

    fn end_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if keys.is_empty() {
            return;
        }
        for key in keys {
            self.delete(&key);
        }
        self.commit();
    }

    /// The revision and the items now, or as they were some time ago.
    fn read(&self, is_stale: bool) -> (u64, BTreeMap<String, Item>) {
        if !is_stale {
            return (self.revision, self.items.clone());
        }
        let now = Instant::now();
        let past =
            self.past.iter().rev().find(|(at, ..)| now.duration_since(*at) >= STALE);
        let (_, revision, items) = past.or(self.past.front()).expect("a first state");
        (*revision, items.clone())
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        let Item { value, revision, created, lease } = self;
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}}}"
        )
    }
}
