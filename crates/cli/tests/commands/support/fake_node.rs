//! Fake of a node's operators' listener.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
};

use serde_json::{Value, json};

/// Sends a fixed response to every request until it is dropped.
pub(crate) struct FakeNode {
    address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl FakeNode {
    /// Starts a node whose version `number` has been in force for 90 s.
    ///
    /// It reports 99 serving nodes in `leuven`, and `ghent-2` in `ghent` as suspect.
    pub(crate) fn start(name: &str, centre: &str, number: u64) -> Self {
        Self::start_with_status(&status(name, centre, number))
    }

    /// Starts a node that also reports client accounts.
    pub(crate) fn start_with_accounts(name: &str, number: u64, accounts: Value) -> Self {
        let mut status = status(name, "leuven", number);
        status["accounts"] = accounts;
        Self::start_with_status(&status)
    }

    fn start_with_status(status: &Value) -> Self {
        let body = status.to_string();
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
             connection: close\r\n\r\n",
            body.len()
        );
        Self::serve(move |stream, _request| {
            let _ = stream.write_all(format!("{head}{body}").as_bytes());
        })
    }

    /// Starts a node that requires `token`.
    pub(crate) fn start_with_token(token: &str) -> Self {
        let expected = format!("authorization: bearer {token}\r\n");
        let body = status("leuven-1", "leuven", 3).to_string();
        let length = body.len();
        Self::serve(move |stream, request| {
            let response = if request.to_lowercase().contains(&expected) {
                format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
                )
            } else {
                "HTTP/1.1 401 Unauthorized\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
                    .to_owned()
            };
            let _ = stream.write_all(response.as_bytes());
        })
    }

    /// Starts a node that sends the head of a response and never completes the body.
    pub(crate) fn start_stalling() -> Self {
        let mut open_streams = Vec::new();
        Self::serve(move |stream, _request| {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{");
            open_streams.extend(stream.try_clone());
        })
    }

    /// Starts a node that sends `response`, given the body with its status, and closes the
    /// connection.
    pub(crate) fn start_with_response(response: impl Fn(&str) -> String) -> Self {
        let response = response(&status("leuven-1", "leuven", 3).to_string());
        Self::serve(move |stream, _request| {
            let _ = stream.write_all(response.as_bytes());
        })
    }

    /// Starts a node that closes every connection without a response.
    pub(crate) fn start_closing() -> Self {
        Self::serve(|_stream, _request| {})
    }

    /// Returns the address of the listener.
    pub(crate) fn address(&self) -> String {
        self.address.to_string()
    }

    fn serve(mut respond: impl FnMut(&mut TcpStream, &str) + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("is bound");
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&is_stopped);
        let thread = thread::spawn(move || {
            for stream in listener.incoming() {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let mut stream = stream.expect("a connection arrives");
                let request = read_head(&stream);
                respond(&mut stream, &request);
            }
        });
        Self {
            address,
            is_stopped,
            thread: Some(thread),
        }
    }
}

impl Drop for FakeNode {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        // Unblocks the thread, which waits in `accept`.
        let _ = TcpStream::connect(self.address);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn read_head(stream: &TcpStream) -> String {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while reader.read_line(&mut head).is_ok_and(|count| count > 2) {}
    head
}

fn status(name: &str, centre: &str, number: u64) -> Value {
    let member = |name: &str, centre: &str, state: &str| json!({"node": name, "data_centre": centre, "state": state, "backends": []});
    let mut members: Vec<_> = (1..=99)
        .map(|number| member(&format!("leuven-{number}"), "leuven", "serving"))
        .collect();
    members.push(member("ghent-2", "ghent", "suspect"));
    if centre != "leuven" {
        members.push(member(name, centre, "serving"));
    }
    json!({
        "mesh": "hemelval",
        "node": name,
        "data_centre": centre,
        "incarnation": 1,
        "state": "serving",
        "callers": "127.0.0.1:1",
        "version": {"number": number, "hash": "0".repeat(64)},
        "applied_at": 10_000_000,
        "now": 100_000_000,
        "is_platform_away": false,
        "is_cut_off": false,
        "silent_data_centres": ["antwerp"],
        "refused": [{
            "version": {"number": 9, "hash": "0".repeat(64)},
            "reason": "content has another hash",
        }],
        "evacuations": [
            {"data_centre": "antwerp", "is_ordered": name == "leuven-1", "revision": 41, "seen_at": 70_000_000},
            {"data_centre": "ghent", "is_ordered": false, "revision": 40, "seen_at": 60_000_000},
        ],
        "members": members,
        "objectives": {},
        "rows": [],
    })
}
