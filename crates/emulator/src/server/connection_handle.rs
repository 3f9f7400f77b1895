use std::{
    any::Any,
    io::Write,
    net::{Shutdown, TcpStream},
    os::fd::AsFd,
};

use actix_web::{HttpRequest, dev::Extensions, rt::net::TcpStream as AsyncTcpStream};

/// Second handle of an accepted connection, by which a handler can close it without an answer.
#[derive(Debug)]
pub struct ConnectionHandle(TcpStream);

impl ConnectionHandle {
    /// Stores a handle of `connection` where [`ConnectionHandle::close_request`] finds it.
    ///
    /// This is a callback for `HttpServer::on_connect`.
    pub fn store(connection: &dyn Any, extensions: &mut Extensions) {
        if let Some(handle) = Self::of(connection) {
            extensions.insert(handle);
        }
    }

    /// Returns a handle of `connection`, if it is a TCP connection.
    #[must_use]
    pub fn of(connection: &dyn Any) -> Option<Self> {
        let stream = connection.downcast_ref::<AsyncTcpStream>()?;
        let descriptor = stream.as_fd().try_clone_to_owned().ok()?;
        Some(Self(TcpStream::from(descriptor)))
    }

    /// Closes the connection that `request` came on.
    pub fn close_request(request: &HttpRequest) {
        if let Some(handle) = request.conn_data::<Self>() {
            handle.close();
        }
    }

    /// Sends `message` past the HTTP library, as far as the socket's buffer takes it.
    pub fn send(&self, message: &[u8]) {
        let mut stream = &self.0;
        // A peer that is gone does not hear it.
        let _ = stream.write_all(message);
    }

    /// Closes the connection in both directions.
    pub fn close(&self) {
        // A connection that the peer has already closed needs no closing.
        let _ = self.0.shutdown(Shutdown::Both);
    }
}
