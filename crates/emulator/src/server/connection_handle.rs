use std::{
    any::Any,
    io::Write,
    net::{Shutdown, TcpStream},
    os::fd::AsFd,
};

use actix_web::{HttpRequest, dev::Extensions, rt::net::TcpStream as AsyncTcpStream};

/// Duplicate handle of an accepted connection, with which a request handler can close it without a
/// response.
#[derive(Debug)]
pub struct ConnectionHandle(TcpStream);

impl ConnectionHandle {
    /// Stores a handle of `connection` for use by [`ConnectionHandle::close_request`].
    ///
    /// Intended as the callback of `HttpServer::on_connect`.
    pub fn store(connection: &dyn Any, extensions: &mut Extensions) {
        if let Some(handle) = Self::try_clone_from(connection) {
            extensions.insert(handle);
        }
    }

    /// Duplicates the handle of `connection`, if it is a TCP connection.
    #[must_use]
    pub fn try_clone_from(connection: &dyn Any) -> Option<Self> {
        let stream = connection.downcast_ref::<AsyncTcpStream>()?;
        let descriptor = stream.as_fd().try_clone_to_owned().ok()?;
        Some(Self(TcpStream::from(descriptor)))
    }

    /// Closes the connection on which `request` was received.
    pub fn close_request(request: &HttpRequest) {
        if let Some(handle) = request.conn_data::<Self>() {
            handle.close();
        }
    }

    /// Writes `message` directly to the socket, bypassing the HTTP library.
    ///
    /// Bytes that do not fit into the socket's send buffer are dropped.
    pub fn send(&self, message: &[u8]) {
        let mut stream = &self.0;
        // Errors are ignored: the peer may have closed the connection.
        let _ = stream.write_all(message);
    }

    /// Closes the connection in both directions.
    pub fn close(&self) {
        // Errors are ignored: the peer may have closed the connection already.
        let _ = self.0.shutdown(Shutdown::Both);
    }
}
