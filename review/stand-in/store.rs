//! Stand-in for the platform's metadata store: tables with one counter, and a drill in which the
//! store comes back from an earlier copy.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json::{decode_base64, encode_base64, Json},
    record::Record,
};

type RowKey = (String, String);

#[derive(Clone, Default)]
struct Rows {
    rows: BTreeMap<RowKey, (String, u64)>,
    removed: BTreeMap<RowKey, u64>,
    version: u64,
}

#[derive(Default)]
struct State {
    now: Rows,
    copy: Rows,
    era: u64,
    is_away: bool,
    /// Number of times that the store fell silent; connections of an earlier number get no answer.
    silence: u64,
    connections: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    started: Instant,
}

impl Store {
    pub fn start(address: SocketAddr, record: Record) -> Store {
        let state = State {
            era: 1,
            ..State::default()
        };
        let store = Store {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record,
            started: Instant::now(),
        };
        let listener = TcpListener::bind(address).expect("the store's port is free");
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.now.version += 1;
        let version = state.now.version;
        let row = (table.to_owned(), key.to_owned());
        state.now.removed.remove(&row);
        let value = encode_base64(value.as_bytes());
        state.now.rows.insert(row, (value, version));
        changed.notify_all();
        self.record
            .line(&format!("operator writes {table}/{key}, Ver {version}"));
        version
    }

    /// Returns a row's value.
    pub fn get(&self, table: &str, key: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        let row = state.now.rows.get(&(table.to_owned(), key.to_owned()));
        row.map(|(value, _)| String::from_utf8_lossy(&decode_base64(value)).into_owned())
    }

    /// Returns the newest version that the store has given out.
    pub fn version(&self) -> u64 {
        self.state.0.lock().unwrap().now.version
    }

    /// Takes the copy from which the store comes back in a drill.
    pub fn take_copy(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.copy = state.now.clone();
        let version = state.now.version;
        self.record
            .line(&format!("the store is copied at Ver {version}"));
    }

    /// Closes every connection and refuses new ones.
    pub fn go_away(&self) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.is_away = true;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        changed.notify_all();
        let version = state.now.version;
        self.record
            .line(&format!("the store goes away at Ver {version}"));
    }

    /// Answers nothing any more, on connections that stay open, until it comes back; those from
    /// before then get no answer after that either.
    pub fn fall_silent(&self) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.is_away = true;
        state.silence += 1;
        changed.notify_all();
        let version = state.now.version;
        self.record
            .line(&format!("the store falls silent at Ver {version}"));
    }

    /// Serves again, from the copy if `from_copy`.
    pub fn come_back(&self, from_copy: bool) {
        let mut state = self.state.0.lock().unwrap();
        if from_copy {
            state.now = state.copy.clone();
            state.era += 1;
        }
        state.is_away = false;
        let (version, era) = (state.now.version, state.era);
        self.record.line(&format!(
            "the store is back at Ver {version}, Store-Era {era}"
        ));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let silence = {
            let mut state = self.state.0.lock().unwrap();
            if state.is_away && state.silence == 0 {
                return;
            }
            if let Ok(copy) = stream.try_clone() {
                state.connections.push(copy);
            }
            // A connection that is opened in the silence gets no answer.
            state.silence.saturating_sub(u64::from(state.is_away))
        };
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_message(&mut reader) {
            let answer = self.answer(&request);
            while self.state.0.lock().unwrap().silence != silence {
                thread::sleep(Duration::from_secs(1));
            }
            let Some((status, body)) = answer else {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            };
            let era = self.state.0.lock().unwrap().era.to_string();
            let headers = [("Content-Type", "application/json"), ("Store-Era", &era)];
            thread::sleep(Duration::from_millis(4));
            if writer
                .write_all(&http::response(status, &headers, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Option<(u16, String)> {
        match request.path() {
            "/bronzelb/rows-get" => self.read_rows(request),
            "/bronzelb/rows-feed" => self.feed(request),
            "/bronzelb/rows-tx" => self.transact(request),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn now_text(&self) -> String {
        format!("{}ms", self.started.elapsed().as_millis())
    }

    fn rows_body(&self, rows: &[String], version: u64) -> String {
        let (rows, now) = (rows.join(","), self.now_text());
        format!("{{\"Rows\":[{rows}],\"HasMore\":false,\"Ver\":{version},\"Now\":\"{now}\"}}")
    }

    fn read_rows(&self, request: &Message) -> Option<(u16, String)> {
        let state = self.state.0.lock().unwrap();
        if state.is_away {
            return None;
        }
        let table = request.query("Table").unwrap_or_default();
        let from = request.query("From").unwrap_or_default();
        let end = request.query("Target");
        let limit: usize = request
            .query("Limit")
            .and_then(|text| text.parse().ok())
            .unwrap_or(500);
        let rows = state.now.rows.iter();
        let rows = rows.filter(|((row_table, key), _)| {
            *row_table == table && *key >= from && end.as_ref().is_none_or(|end| key < end)
        });
        let rows: Vec<_> = rows.take(limit).map(row_json).collect();
        Some((200, self.rows_body(&rows, state.now.version)))
    }

    fn feed(&self, request: &Message) -> Option<(u16, String)> {
        let table = request.query("Table").unwrap_or_default();
        let after: u64 = request.query("after")?.parse().ok()?;
        let wait: u64 = request.query("WaitMs")?.parse().ok()?;
        let deadline = Instant::now() + Duration::from_millis(wait);
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let era = state.era;
        loop {
            if state.is_away || state.era != era {
                return None;
            }
            if after > state.now.version {
                return Some((410, "{}".to_owned()));
            }
            let mut found: Vec<(u64, String)> = state
                .now
                .rows
                .iter()
                .filter(|((row_table, _), (_, version))| *row_table == table && *version > after)
                .map(|row| (row.1 .1, row_json(row)))
                .collect();
            for ((row_table, key), version) in &state.now.removed {
                if *row_table == table && *version > after {
                    let row = format!(
                        "{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",\"Ver\":{version},\"Deleted\":true}}"
                    );
                    found.push((*version, row));
                }
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort();
                let rows: Vec<_> = found.into_iter().map(|(_, row)| row).collect();
                return Some((200, self.rows_body(&rows, state.now.version)));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Message) -> Option<(u16, String)> {
        let body = Json::parse(&String::from_utf8_lossy(&request.body))?;
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        if state.is_away {
            return None;
        }
        let row_key = |row: &Json| {
            let (table, key) = (row.get("Table").text(), row.get("Key").text());
            (table.to_owned(), key.to_owned())
        };
        let mut conflicts = Vec::new();
        for row in body.get("ExpectRev").list() {
            let key = row_key(row);
            let found = state.now.rows.get(&key).map_or(0, |(_, version)| *version);
            if found != row.get("Ver").number() {
                conflicts.push(format!(
                    "{{\"Table\":\"{}\",\"part\":\"\",\"Key\":\"{}\",\"Value\":\"\",\"Ver\":{found}}}",
                    key.0, key.1
                ));
            }
        }
        if !conflicts.is_empty() {
            return Some((412, format!("{{\"Rows\":[{}]}}", conflicts.join(","))));
        }
        state.now.version += 1;
        let version = state.now.version;
        for row in body.get("SetKeys").list() {
            let key = row_key(row);
            if key.0 == "op" || key.0 == "servers" {
                return Some((403, "{}".to_owned()));
            }
            let value = row.get("Value").text().to_owned();
            if key.0 == "status" {
                let text = decode_base64(&value);
                self.record.line(&format!(
                    "system writes {}/{} = {}, Ver {version}",
                    key.0,
                    key.1,
                    String::from_utf8_lossy(&text)
                ));
            }
            state.now.removed.remove(&key);
            state.now.rows.insert(key, (value, version));
        }
        for row in body.get("Remove").list() {
            let key = row_key(row);
            state.now.rows.remove(&key);
            state.now.removed.insert(key, version);
        }
        changed.notify_all();
        let now = self.now_text();
        Some((200, format!("{{\"Ver\":{version},\"Now\":\"{now}\"}}")))
    }
}

fn row_json(row: (&RowKey, &(String, u64))) -> String {
    let ((table, key), (value, version)) = row;
    format!(
        "{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",\"Value\":\"{value}\",\"Ver\":{version}}}"
    )
}
