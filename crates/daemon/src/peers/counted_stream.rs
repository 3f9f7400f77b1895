use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use bronzelb_kernel::ids::ByteCount;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes exchanged with other nodes since the node started.
#[derive(Clone, Debug, Default)]
pub struct PeerTraffic {
    counts: Arc<TrafficCounts>,
}

#[derive(Debug, Default)]
struct TrafficCounts {
    sent: AtomicU64,
    received: AtomicU64,
}

impl PeerTraffic {
    /// Returns the number of bytes sent.
    #[must_use]
    pub fn sent(&self) -> ByteCount {
        ByteCount::new(self.counts.sent.load(Ordering::Relaxed))
    }

    /// Returns the number of bytes received.
    #[must_use]
    pub fn received(&self) -> ByteCount {
        ByteCount::new(self.counts.received.load(Ordering::Relaxed))
    }
}

/// Connection to another node that counts the bytes sent and received.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: TcpStream,
    traffic: PeerTraffic,
}

impl CountedStream {
    pub(crate) const fn new(stream: TcpStream, traffic: PeerTraffic) -> Self {
        Self { stream, traffic }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let count = buf.filled().len() - before;
        let counts = &self.traffic.counts;
        counts.received.fetch_add(count as u64, Ordering::Relaxed);
        result
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = result {
            let counts = &self.traffic.counts;
            counts.sent.fetch_add(count as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
