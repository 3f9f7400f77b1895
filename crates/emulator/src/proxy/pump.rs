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
    proxy_link::{LinkDirection, ProxyLink},
};

const CHUNK_BYTES: usize = 16 * 1024;
const MAX_CHUNKS_IN_TRANSIT: usize = 64;
const DUPLICATE_TIMEOUT: Duration = Duration::from_secs(10);

/// A chunk of bytes, and the instant at which it is passed on.
struct TransitChunk {
    due_at: Instant,
    bytes: Bytes,
}

/// Passes bytes between a source and its target until either ends or a rule breaks the link.
pub(crate) async fn pump_both(source: TcpStream, mut link: ProxyLink) -> Result<()> {
    link.until_flowing(LinkDirection::Request).await;
    let target = link
        .listener
        .target()
        .ok_or_else(|| Error::new(ErrorKind::NotConnected, "the listener has no target"))?;
    let stream = connect(&link, target).await?;
    source.set_nodelay(true)?;
    stream.set_nodelay(true)?;
    let (source_reader, source_writer) = source.into_split();
    let (target_reader, target_writer) = stream.into_split();
    let requests = pump(
        source_reader,
        target_writer,
        link.clone(),
        LinkDirection::Request,
    );
    let answers = pump(target_reader, source_writer, link, LinkDirection::Answer);
    tokio::try_join!(requests, answers).map(|_| ())
}

/// Connects to the target from the source's own IP number.
async fn connect(link: &ProxyLink, target: SocketAddr) -> Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(link.source, 0))?;
    socket.connect(target).await
}

async fn pump(
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    link: ProxyLink,
    direction: LinkDirection,
) -> Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_CHUNKS_IN_TRANSIT);
    let reading = read_chunks(reader, sender, link.clone(), direction);
    let writing = write_chunks(writer, receiver, link, direction);
    tokio::try_join!(reading, writing).map(|_| ())
}

async fn read_chunks(
    mut reader: OwnedReadHalf,
    sender: mpsc::Sender<TransitChunk>,
    mut link: ProxyLink,
    direction: LinkDirection,
) -> Result<()> {
    loop {
        link.until_flowing(direction).await;
        let mut buffer = BytesMut::with_capacity(CHUNK_BYTES);
        if reader.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
        let chunk = TransitChunk {
            due_at: Instant::now() + link.delay(),
            bytes: buffer.freeze(),
        };
        if sender.send(chunk).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_chunks(
    mut writer: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<TransitChunk>,
    mut link: ProxyLink,
    direction: LinkDirection,
) -> Result<()> {
    while let Some(chunk) = receiver.recv().await {
        sleep_until(chunk.due_at).await;
        link.until_flowing(direction).await;
        if let Some(rate) = link.throttle() {
            sleep(transfer_time(chunk.bytes.len(), rate)).await;
        }
        match direction {
            LinkDirection::Request => duplicate(&link, &chunk.bytes),
            LinkDirection::Answer => break_answer(&mut writer, &link, &chunk.bytes).await?,
        }
        writer.write_all(&chunk.bytes).await?;
        count(&link, direction, chunk.bytes.len());
    }
    writer.shutdown().await
}

fn transfer_time(bytes: usize, rate: u64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / rate.max(1) as f64)
}

fn count(link: &ProxyLink, direction: LinkDirection, bytes: usize) {
    let counters = &link.listener.counters;
    let counter = match direction {
        LinkDirection::Request => &counters.request_bytes,
        LinkDirection::Answer => &counters.answer_bytes,
    };
    counter.fetch_add(bytes as u64, Ordering::Relaxed);
}

/// Ends the link with an error when a rule loses or truncates this answer.
async fn break_answer(writer: &mut OwnedWriteHalf, link: &ProxyLink, bytes: &[u8]) -> Result<()> {
    if link.take(ProxyAction::LoseAnswer) {
        return Err(Error::new(ErrorKind::ConnectionReset, "the answer is lost"));
    }
    let Some(limit) = link.truncation() else {
        return Ok(());
    };
    if !link.take(ProxyAction::Truncate(limit)) {
        return Ok(());
    }
    let end = usize::try_from(limit)
        .unwrap_or(usize::MAX)
        .min(bytes.len());
    writer.write_all(&bytes[..end]).await?;
    writer.flush().await?;
    Err(Error::new(
        ErrorKind::ConnectionReset,
        "the answer is truncated",
    ))
}

/// Sends `bytes` once more on a connection of its own and ignores the answer.
fn duplicate(link: &ProxyLink, bytes: &Bytes) {
    let Some(target) = link.listener.target() else {
        return;
    };
    if !link.take(ProxyAction::Duplicate) {
        return;
    }
    let link = link.clone();
    let bytes = bytes.clone();
    actix_web::rt::spawn(async move {
        let replay = async {
            let mut stream = connect(&link, target).await?;
            stream.write_all(&bytes).await?;
            let mut ignored = Vec::new();
            stream.read_to_end(&mut ignored).await
        };
        // Nobody waits for the answer to the duplicate.
        let _ = tokio::time::timeout(DUPLICATE_TIMEOUT, replay).await;
    });
}
