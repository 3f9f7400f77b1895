//! A backend server that writes raw bytes, so that a test controls its responses exactly.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{self, AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::spawn_local,
};

/// Repetitions that are written at once.
const REPEATED_BLOCK_LENGTH: usize = 1_000;
pub(crate) const REQUEST_HEADER: &str = "x-bronzelb-request: ";

/// Returns the reply to a request, given its number and identifier.
pub(crate) type ReplyScript = fn(number: usize, id: &str) -> Reply;

/// What a server writes as soon as it has read the head of a request.
pub(crate) struct Reply {
    pub(crate) bytes: Vec<u8>,
    pub(crate) ending: ReplyEnding,
}

/// What a server does after it has written a reply.
#[derive(Clone, Copy)]
pub(crate) enum ReplyEnding {
    /// Reads the next request.
    KeepOpen,
    /// Closes the connection; the system resets it if a part of the request is unread.
    Close,
    /// Resets the connection.
    Reset,
    /// Ends its own direction, and reads until the client closes.
    HalfClose,
    /// Sends the text again and again until the client closes.
    Repeat(&'static str),
}

pub(crate) struct RawServer {
    pub(crate) address: SocketAddr,
    requests: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
}

impl RawServer {
    pub(crate) async fn start(script: impl Fn(usize, &str) -> Reply + Clone + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let requests = Arc::new(AtomicUsize::new(0));
        let connections = Arc::new(AtomicUsize::new(0));
        let (counted, opened) = (Arc::clone(&requests), Arc::clone(&connections));
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                opened.fetch_add(1, Ordering::Relaxed);
                spawn_local(serve(stream, script.clone(), Arc::clone(&counted)));
            }
        });
        Self {
            address,
            requests,
            connections,
        }
    }

    pub(crate) fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

async fn serve(
    mut stream: TcpStream,
    script: impl Fn(usize, &str) -> Reply,
    counted: Arc<AtomicUsize>,
) {
    let mut buffer = Vec::new();
    loop {
        let Some(head) = read_head(&mut stream, &mut buffer).await else {
            return;
        };
        let number = counted.fetch_add(1, Ordering::Relaxed);
        let id = head
            .lines()
            .find_map(|line| line.strip_prefix(REQUEST_HEADER))
            .unwrap_or_default();
        let reply = script(number, id);
        if stream.write_all(&reply.bytes).await.is_err() {
            return;
        }
        match reply.ending {
            ReplyEnding::KeepOpen => {}
            ReplyEnding::Close => return,
            ReplyEnding::Reset => {
                let socket = SockRef::from(&stream);
                socket
                    .set_linger(Some(Duration::ZERO))
                    .expect("an open socket");
                return;
            }
            ReplyEnding::HalfClose => {
                // The client may have closed the connection already.
                let _ = stream.shutdown().await;
                let _ = io::copy(&mut stream, &mut io::sink()).await;
                return;
            }
            ReplyEnding::Repeat(text) => {
                let block = text.repeat(REPEATED_BLOCK_LENGTH);
                while stream.write_all(block.as_bytes()).await.is_ok() {}
                return;
            }
        }
    }
}

pub(crate) async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..end + 4).collect();
            return String::from_utf8(head).ok();
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

pub(crate) fn complete_response(id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n{REQUEST_HEADER}{id}\r\n\r\n{body}",
        body.len()
    )
}

pub(crate) fn reply(bytes: impl Into<Vec<u8>>, ending: ReplyEnding) -> Reply {
    Reply {
        bytes: bytes.into(),
        ending,
    }
}

pub(crate) fn keep_open(bytes: impl Into<Vec<u8>>) -> Reply {
    reply(bytes, ReplyEnding::KeepOpen)
}

pub(crate) fn close_after(bytes: impl Into<Vec<u8>>) -> Reply {
    reply(bytes, ReplyEnding::Close)
}

pub(crate) fn repeat_after(bytes: impl Into<Vec<u8>>, repeated: &'static str) -> Reply {
    reply(bytes, ReplyEnding::Repeat(repeated))
}
