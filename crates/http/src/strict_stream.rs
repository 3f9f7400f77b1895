use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service, ServiceExt};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector, Resolver};
use awc::http::Uri;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Connection on which the end of the stream is an error.
///
/// `awc` takes the end of the stream for the end of a body, even inside a chunk or before the stated
/// length. A response whose end is known is complete before that.
#[derive(Debug)]
pub struct StrictStream {
    stream: TcpStream,
}

/// Returns a connector for [`awc::ClientBuilder::connector`] whose connections are
/// [`StrictStream`]s.
#[must_use]
pub fn strict_connector() -> awc::Connector<
    impl Service<ConnectInfo<Uri>, Response = Connection<Uri, StrictStream>, Error = ConnectError>
    + Clone,
> {
    let service = Connector::new(Resolver::default()).service();
    let service = service.map(|connection: Connection<Uri, TcpStream>| {
        let (stream, request) = connection.into_parts();
        Connection::new(request, StrictStream { stream })
    });
    awc::Connector::new().connector(service)
}

impl AsyncRead for StrictStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let has_room = buf.remaining() > 0;
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if has_room && buf.filled().len() == before {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for StrictStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for StrictStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
