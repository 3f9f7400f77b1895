//! HTTP/1.1 over blocking sockets, enough for the stand-ins.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pair = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name);
        pair.map(|(_, value)| decode_percent(value))
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut position = 0;
    while position < bytes.len() {
        if bytes[position] == b'%' && position + 2 < bytes.len() {
            let digits = std::str::from_utf8(&bytes[position + 1..position + 3]).unwrap_or("20");
            decoded.push(u8::from_str_radix(digits, 16).unwrap_or(b' '));
            position += 3;
        } else {
            decoded.push(bytes[position]);
            position += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn ended() -> io::Error {
    io::Error::from(io::ErrorKind::UnexpectedEof)
}

/// Reads a request or a response; `Ok(None)` at the end of the stream.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if stream.read_line(&mut line)? == 0 {
            return Err(ended());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            let entry = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(entry);
        }
    }
    if message.header("transfer-encoding").contains("chunked") {
        loop {
            line.clear();
            if stream.read_line(&mut line)? == 0 {
                return Err(ended());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| ended())?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk)?;
            message.body.extend(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else if let Ok(length) = message.header("content-length").parse() {
        message.body = vec![0; length];
        stream.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    bytes
}

pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    bytes
}

/// Sends one request on a new connection and reads the response.
pub fn call(address: SocketAddr, bytes: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(bytes)?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader)?.ok_or_else(ended)
}
