//! A stand-in for the platform's store, as PROTOCOL.md describes it.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Message},
    json::{Json, decode_base64, encode_base64},
};

/// The number of items of one page of a range.
const PAGE_ITEMS: usize = 500;

/// How long a connection may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    /// By revision, the change as an event.
    events: Vec<(u64, String, String)>,
    lease: u64,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    /// Its address.
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Condvar>,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
            changed: Arc::default(),
        };
        store.state.lock().unwrap().revision = 10;
        let serving = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let _ = store.serve(socket);
                });
            }
        });
        Ok(store)
    }

    /// Writes an item; returns the revision of the change.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let mut state = self.state.lock().unwrap();
        write_item(&mut state, key, value);
        self.changed.notify_all();
        state.revision
    }

    fn serve(&self, socket: TcpStream) -> io::Result<()> {
        let mut connection = Connection::new(socket, IDLE_TIMEOUT)?;
        while let Some(mut request) = connection.read_head()? {
            connection.read_body(&mut request)?;
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            connection.socket.write_all((head + &body).as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut named = pairs.filter(|(key, _)| *key == name);
            unescape(named.next().map_or("", |(_, value)| value))
        };
        match path {
            "/-/kv-key" => self.read_key(&field("key")),
            "/-/kv-range" => self.read_range(&field("prefix"), &field("after")),
            "/-/kv-watch" => {
                let after = field("after").parse().unwrap_or_default();
                let wait = field("wait_ms").parse().unwrap_or_default();
                self.watch(&field("prefix"), after, Duration::from_millis(wait))
            }
            "/-/kv-txn" => self.transact(&request.body),
            "/-/kv-lease" => {
                let mut state = self.state.lock().unwrap();
                state.lease += 1;
                (
                    200,
                    format!("{{\"lease\":{},\"ttl_ms\":600000}}", state.lease),
                )
            }
            path if path.starts_with("/-/kv-keep/") => (200, "{\"ttl_ms\":600000}".into()),
            path if path.starts_with("/-/kv-lease-end/") => (200, "{}".into()),
            _ => (404, "{}".into()),
        }
    }

    fn read_key(&self, key: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let at = state.revision;
        match state.items.get(key) {
            Some((value, revision)) => {
                let item = item(key, value, *revision);
                (200, format!("{},\"at\":{at}}}", item.trim_end_matches('}')))
            }
            None => (404, format!("{{\"at\":{at}}}")),
        }
    }

    fn read_range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let found = state.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let found = found.collect::<Vec<_>>();
        let page = found.iter().take(PAGE_ITEMS);
        let items = page.map(|(key, (value, revision))| item(key, value, *revision));
        let items = items.collect::<Vec<_>>().join(",");
        let has_more = found.len() > PAGE_ITEMS;
        let at = state.revision;
        (
            200,
            format!("{{\"items\":[{items}],\"has_more\":{has_more},\"at\":{at}}}"),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events = state.events.iter();
            let events = events.filter(|it| it.0 > after && it.1.starts_with(prefix));
            let events = events.map(|it| it.2.as_str()).collect::<Vec<_>>();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, "{}".into());
        };
        let rows = |name: &str| call.get(name).map(Json::items).unwrap_or_default();
        let text = |row: &Json, name: &str| row.get(name).map(Json::text).unwrap_or("").to_owned();
        let mut state = self.state.lock().unwrap();
        let is_expected = rows("expect").iter().all(|row| {
            let known = state.items.get(&text(row, "key")).map_or(0, |it| it.1);
            row.get("revision").map_or(0, Json::number) == known
        });
        if !is_expected {
            return (412, "{\"items\":[]}".into());
        }
        for row in rows("writes") {
            let value = decode_base64(&text(row, "value"));
            write_item(&mut state, &text(row, "key"), &value);
        }
        for key in rows("delete") {
            delete_item(&mut state, key.text());
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

fn write_item(state: &mut StoreState, key: &str, value: &[u8]) {
    state.revision += 1;
    let revision = state.revision;
    state.items.insert(key.into(), (value.into(), revision));
    state
        .events
        .push((revision, key.into(), item(key, value, revision)));
}

fn delete_item(state: &mut StoreState, key: &str) {
    if state.items.remove(key).is_some() {
        state.revision += 1;
        let revision = state.revision;
        let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}");
        state.events.push((revision, key.into(), event));
    }
}

fn item(key: &str, value: &[u8], revision: u64) -> String {
    let value = encode_base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}"
    )
}

/// Replaces the escapes of a query.
fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, after @ ..] = rest {
        rest = after;
        if *first == b'%' && after.len() >= 2 {
            let digits = String::from_utf8_lossy(&after[..2]).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'%'));
            rest = &after[2..];
        } else {
            bytes.push(*first);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
