use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use tokio::{
    io::{self, AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::spawn_local,
};

/// Repetitions that are written at once.
const REPEATED_BLOCK_LENGTH: usize = 1_000;
/// Start of the header line that holds the identifier of a request.
pub const REQUEST_HEADER: &str = "x-bronzelb-request: ";

/// Returns the reply to a request, given its number and identifier.
pub type ReplyScript = fn(number: usize, id: &str) -> Reply;

/// What a server writes as soon as it has read the head of a request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Bytes of the response, complete or not.
    pub bytes: Vec<u8>,
    /// What follows the bytes.
    pub ending: ReplyEnding,
}

/// What a server does after it has written a reply.
#[derive(Clone, Copy, Debug)]
pub enum ReplyEnding {
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

/// Server that writes raw bytes, so that a test controls its responses exactly.
///
/// It runs on the current thread's [`LocalSet`](tokio::task::LocalSet).
#[derive(Debug)]
pub struct RawServer {
    /// Address of the listener.
    pub address: SocketAddr,
    requests: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
}

impl RawServer {
    /// Starts a server on a free port.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub async fn start(script: impl Fn(usize, &str) -> Reply + Clone + 'static) -> Self {
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

    /// Returns the number of requests whose heads have been read.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that have been opened.
    #[must_use]
    pub fn connections(&self) -> usize {
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
                stream.set_zero_linger().expect("an open socket");
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

/// Reads the head of a request; what follows it stays in `buffer`.
pub async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    let mut searched = 0;
    loop {
        let found = buffer[searched..]
            .windows(4)
            .position(|window| window == b"\r\n\r\n");
        if let Some(end) = found {
            let head: Vec<u8> = buffer.drain(..searched + end + 4).collect();
            return String::from_utf8(head).ok();
        }
        // The end may begin in the last three bytes.
        searched = buffer.len().saturating_sub(3);
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Returns a response to the request `id`.
#[must_use]
pub fn complete_response(id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n{REQUEST_HEADER}{id}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a reply with an ending.
pub fn reply(bytes: impl Into<Vec<u8>>, ending: ReplyEnding) -> Reply {
    Reply {
        bytes: bytes.into(),
        ending,
    }
}

/// Returns a reply after which the server reads the next request.
pub fn keep_open(bytes: impl Into<Vec<u8>>) -> Reply {
    reply(bytes, ReplyEnding::KeepOpen)
}

/// Returns a reply after which the server closes the connection.
pub fn close_after(bytes: impl Into<Vec<u8>>) -> Reply {
    reply(bytes, ReplyEnding::Close)
}

/// Returns a reply that is followed by `repeated` without end.
pub fn repeat_after(bytes: impl Into<Vec<u8>>, repeated: &'static str) -> Reply {
    reply(bytes, ReplyEnding::Repeat(repeated))
}
