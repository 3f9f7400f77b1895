//! Stand-in of the platform's store: rows, transactions, the feed and objects.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::net::{base64, Connection, Json, Message};

type RowKey = (String, String, String);

#[derive(Default)]
struct Tables {
    version: u64,
    rows: BTreeMap<RowKey, (String, u64)>,
    /// Version of the latest change of each row, also of rows that were removed.
    changed: BTreeMap<RowKey, u64>,
    objects: BTreeMap<String, Vec<u8>>,
}

pub struct Store {
    tables: Mutex<Tables>,
    changes: Condvar,
    started_at: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let store = Arc::new(Self {
            tables: Mutex::default(),
            changes: Condvar::new(),
            started_at: Instant::now(),
            address,
        });
        let server = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&server);
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut tables = self.tables.lock().unwrap();
        tables.version += 1;
        let version = tables.version;
        let row = (table.to_owned(), String::new(), key.to_owned());
        tables
            .rows
            .insert(row.clone(), (base64(value.as_bytes()), version));
        tables.changed.insert(row, version);
        self.changes.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read() {
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request);
            let head = [("Content-Type", "application/json")];
            if connection
                .write(&format!("HTTP/1.1 {status} Answer"), &head, &body)
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        let path = request.path().trim_start_matches("/bronzelb/").to_owned();
        match path.as_str() {
            "rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            "rows-get" => self.read(request),
            "rows-feed" => self.feed(request),
            "rows-parts" => (200, br#"{"parts":[],"HasMore":false}"#.to_vec()),
            "blob-list" => (200, br#"{"names":[],"HasMore":false}"#.to_vec()),
            _ => self.object(&path, request),
        }
    }

    fn object(&self, path: &str, request: &Message) -> (u16, Vec<u8>) {
        let mut tables = self.tables.lock().unwrap();
        let name = path.split_once('/').map_or("", |(_, name)| name).to_owned();
        if path.starts_with("blob-put/") {
            if tables.objects.contains_key(&name) && request.header("if-none-match").is_some() {
                return (412, Vec::new());
            }
            tables.objects.insert(name, request.body.clone());
            return (200, b"{}".to_vec());
        }
        if path.starts_with("blob-drop/") {
            tables.objects.remove(&name);
            return (200, b"{}".to_vec());
        }
        match tables.objects.get(&name) {
            Some(body) => (200, body.clone()),
            None => (404, Vec::new()),
        }
    }

    fn now(&self) -> String {
        format!("\"{}ms\"", self.started_at.elapsed().as_millis())
    }

    fn transact(&self, body: &str) -> (u16, Vec<u8>) {
        let Some(body) = Json::parse(body) else {
            return (400, Vec::new());
        };
        let row = |entry: &Json| -> RowKey {
            let text = |name| entry.get(name).text().to_owned();
            (text("Table"), text("part"), text("Key"))
        };
        let written = body.get("SetKeys").list();
        let removed = body.get("Remove").list();
        let is_refused =
            |entry: &&Json| matches!(entry.get("Table").text(), "op" | "servers");
        if written.iter().chain(removed).any(|entry| is_refused(&entry)) {
            return (403, Vec::new());
        }
        let mut tables = self.tables.lock().unwrap();
        let mut current = Vec::new();
        let mut holds = true;
        for entry in body.get("ExpectRev").list() {
            let key = row(entry);
            let version = tables.rows.get(&key).map_or(0, |(_, version)| *version);
            holds &= version == entry.get("Ver").number();
            if let Some((value, version)) = tables.rows.get(&key) {
                current.push(row_text(&key, value, *version));
            }
        }
        let now = self.now();
        if !holds {
            let text = format!(
                r#"{{"Rows":[{}],"Ver":{},"Now":{now}}}"#,
                current.join(","),
                tables.version
            );
            return (412, text.into_bytes());
        }
        tables.version += 1;
        let version = tables.version;
        for entry in written {
            let key = row(entry);
            let value = entry.get("Value").text().to_owned();
            tables.rows.insert(key.clone(), (value, version));
            tables.changed.insert(key, version);
        }
        for entry in removed {
            let key = row(entry);
            tables.rows.remove(&key);
            tables.changed.insert(key, version);
        }
        self.changes.notify_all();
        (200, format!(r#"{{"Ver":{version},"Now":{now}}}"#).into_bytes())
    }

    fn read(&self, request: &Message) -> (u16, Vec<u8>) {
        let tables = self.tables.lock().unwrap();
        let (table, part) = (request.query("Table"), request.query("part"));
        let (from, target) = (request.query("From"), request.query("Target"));
        let limit: usize = request.query("Limit").parse().unwrap_or(500).min(500);
        let found = tables.rows.iter().filter(|((of, in_part, key), _)| {
            *of == table
                && *in_part == part
                && key.as_bytes() >= from.as_bytes()
                && (target.is_empty() || key.as_bytes() < target.as_bytes())
        });
        let rows: Vec<_> = found
            .map(|(key, (value, version))| row_text(key, value, *version))
            .collect();
        let has_more = rows.len() > limit;
        let text = format!(
            r#"{{"Rows":[{}],"HasMore":{has_more},"Ver":{},"Now":{}}}"#,
            rows[..rows.len().min(limit)].join(","),
            tables.version,
            self.now()
        );
        (200, text.into_bytes())
    }

    fn feed(&self, request: &Message) -> (u16, Vec<u8>) {
        let table = request.query("Table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("WaitMs").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut tables = self.tables.lock().unwrap();
        loop {
            let mut changed: Vec<_> = tables
                .changed
                .iter()
                .filter(|((of, _, _), version)| *of == table && **version > after)
                .collect();
            changed.sort_by_key(|(_, version)| **version);
            let left = deadline.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let rows: Vec<_> = changed
                    .iter()
                    .map(|(key, version)| match tables.rows.get(*key) {
                        Some((value, _)) => row_text(key, value, **version),
                        None => format!(
                            r#"{{"Table":"{}","part":"{}","Key":"{}","Ver":{version},"Deleted":true}}"#,
                            key.0, key.1, key.2
                        ),
                    })
                    .collect();
                let text = format!(
                    r#"{{"Rows":[{}],"Ver":{},"Now":{}}}"#,
                    rows.join(","),
                    tables.version,
                    self.now()
                );
                return (200, text.into_bytes());
            }
            tables = self.changes.wait_timeout(tables, left).unwrap().0;
        }
    }
}

fn row_text(key: &RowKey, value: &str, version: u64) -> String {
    format!(
        r#"{{"Table":"{}","part":"{}","Key":"{}","Value":"{value}","Ver":{version}}}"#,
        key.0, key.1, key.2
    )
}
