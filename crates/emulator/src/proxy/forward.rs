use std::{
    io::{Error, ErrorKind, Result},
    net::SocketAddr,
    sync::atomic::Ordering,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpSocket, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    time::{Instant, sleep, sleep_until},
};

use crate::proxy::{
    ProxyAction,
    proxy_connection::{ProxyConnection, TrafficDirection},
};

const CHUNK_BYTES: usize = 16 * 1024;
const MAX_BUFFERED_CHUNKS: usize = 64;
const DUPLICATE_TIMEOUT: Duration = Duration::from_secs(10);

/// A chunk of bytes and the time at which it is forwarded.
struct DelayedChunk {
    due_at: Instant,
    bytes: Bytes,
}

/// Forwards bytes between a source and its target until both directions reach the end of the
/// stream, a rule breaks the connection, or an error occurs.
pub(crate) async fn forward_connection(
    source: TcpStream,
    mut connection: ProxyConnection,
) -> Result<()> {
    connection.wait_unstalled(TrafficDirection::Request).await;
    let target = connection
        .listener
        .target()
        .ok_or_else(|| Error::new(ErrorKind::NotConnected, "listener has no target"))?;
    let target = connect(&connection, target).await?;
    source.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let (source_reader, source_writer) = source.into_split();
    let (target_reader, target_writer) = target.into_split();
    let requests = forward_direction(
        source_reader,
        target_writer,
        connection.clone(),
        TrafficDirection::Request,
    );
    let responses = forward_direction(
        target_reader,
        source_writer,
        connection,
        TrafficDirection::Response,
    );
    tokio::try_join!(requests, responses).map(|_| ())
}

/// Connects to the target from the source's IP address.
async fn connect(connection: &ProxyConnection, target: SocketAddr) -> Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(connection.source, 0))?;
    socket.connect(target).await
}

async fn forward_direction(
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    connection: ProxyConnection,
    direction: TrafficDirection,
) -> Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let reading = read_chunks(reader, sender, connection.clone(), direction);
    let writing = write_chunks(writer, receiver, connection, direction);
    tokio::try_join!(reading, writing).map(|_| ())
}

async fn read_chunks(
    mut reader: OwnedReadHalf,
    sender: mpsc::Sender<DelayedChunk>,
    mut connection: ProxyConnection,
    direction: TrafficDirection,
) -> Result<()> {
    loop {
        connection.wait_unstalled(direction).await;
        let mut buffer = BytesMut::with_capacity(CHUNK_BYTES);
        if reader.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
        let chunk = DelayedChunk {
            due_at: Instant::now() + connection.delay(),
            bytes: buffer.freeze(),
        };
        if sender.send(chunk).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_chunks(
    mut writer: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<DelayedChunk>,
    mut connection: ProxyConnection,
    direction: TrafficDirection,
) -> Result<()> {
    while let Some(chunk) = receiver.recv().await {
        sleep_until(chunk.due_at).await;
        connection.wait_unstalled(direction).await;
        if let Some(bytes_per_second) = connection.bandwidth_limit() {
            sleep(transfer_time(chunk.bytes.len(), bytes_per_second)).await;
        }
        match direction {
            TrafficDirection::Request => send_duplicate(&connection, &chunk.bytes),
            TrafficDirection::Response => {
                inject_response_fault(&mut writer, &connection, &chunk.bytes).await?;
            }
        }
        writer.write_all(&chunk.bytes).await?;
        count_bytes(&connection, direction, chunk.bytes.len());
    }
    writer.shutdown().await
}

fn transfer_time(bytes: usize, bytes_per_second: u64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / bytes_per_second.max(1) as f64)
}

fn count_bytes(connection: &ProxyConnection, direction: TrafficDirection, bytes: usize) {
    let counters = &connection.listener.counters;
    let counter = match direction {
        TrafficDirection::Request => &counters.request_bytes,
        TrafficDirection::Response => &counters.answer_bytes,
    };
    counter.fetch_add(bytes as u64, Ordering::Relaxed);
}

/// Fails if a rule drops or truncates this response; a truncated response is sent up to its limit.
async fn inject_response_fault(
    writer: &mut OwnedWriteHalf,
    connection: &ProxyConnection,
    bytes: &[u8],
) -> Result<()> {
    if connection.consume_rule(ProxyAction::LoseAnswer) {
        return Err(Error::new(
            ErrorKind::ConnectionReset,
            "response dropped by a proxy rule",
        ));
    }
    let Some(limit) = connection.truncation_limit() else {
        return Ok(());
    };
    if !connection.consume_rule(ProxyAction::Truncate(limit)) {
        return Ok(());
    }
    let end = usize::try_from(limit)
        .unwrap_or(usize::MAX)
        .min(bytes.len());
    writer.write_all(&bytes[..end]).await?;
    writer.flush().await?;
    Err(Error::new(
        ErrorKind::ConnectionReset,
        "response truncated by a proxy rule",
    ))
}

/// If a rule requires it, sends `bytes` again on a separate connection and discards the response.
fn send_duplicate(connection: &ProxyConnection, bytes: &Bytes) {
    let Some(target) = connection.listener.target() else {
        return;
    };
    if !connection.consume_rule(ProxyAction::Duplicate) {
        return;
    }
    let connection = connection.clone();
    let bytes = bytes.clone();
    actix_web::rt::spawn(async move {
        let replay = async {
            let mut stream = connect(&connection, target).await?;
            stream.write_all(&bytes).await?;
            let mut discarded = Vec::new();
            stream.read_to_end(&mut discarded).await
        };
        // The result of the duplicate is deliberately ignored.
        let _ = tokio::time::timeout(DUPLICATE_TIMEOUT, replay).await;
    });
}
