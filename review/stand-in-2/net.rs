//! HTTP/1.1 over plain sockets, JSON and base64, with the standard library alone.

use std::{
    collections::BTreeMap,
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Request or response: the words of its first line, its headers in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: [String; 3],
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first[1].split('?').next().unwrap_or("")
    }

    /// Returns a parameter of the query, percent-decoded.
    pub fn query(&self, name: &str) -> String {
        let query = self.first[1].split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| percent_decode(value))
            .next()
            .unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first[1].parse().unwrap_or(0)
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = (bytes[index] == b'%')
            .then(|| text.get(index + 1..index + 3))
            .flatten();
        if let Some(byte) = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            decoded.push(byte);
            index += 3;
        } else {
            decoded.push(bytes[index]);
            index += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Connection that reads whole messages.
pub struct Connection {
    pub stream: TcpStream,
    received: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            received: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = vec![0; 64 * 1024];
        let count = self.stream.read(&mut chunk)?;
        if count == 0 {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "closed"));
        }
        self.received.extend_from_slice(&chunk[..count]);
        Ok(())
    }

    /// Reads a request, or a response whose body has a length.
    pub fn read(&mut self) -> io::Result<Message> {
        let end = loop {
            let end = self.received.windows(4).position(|part| part == b"\r\n\r\n");
            match end {
                Some(end) => break end,
                None => self.fill()?,
            }
        };
        let head = String::from_utf8_lossy(&self.received[..end]).into_owned();
        self.received.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut words = lines.next().unwrap_or("").splitn(3, ' ');
        let mut message = Message::default();
        for word in &mut message.first {
            *word = words.next().unwrap_or("").to_owned();
        }
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        let length = message.header("content-length");
        let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.received.len() < length {
            self.fill()?;
        }
        message.body = self.received.drain(..length).collect();
        Ok(message)
    }

    pub fn write(&mut self, first: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("{first}\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Sends a request and reads the answer, which has to be there within `timeout`.
    pub fn call(
        &mut self,
        first: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        timeout: Duration,
    ) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(timeout))?;
        self.stream.set_write_timeout(Some(timeout))?;
        let written = self.write(first, headers, body);
        // A node may answer and close before it has read the whole body.
        let deadline = Instant::now() + timeout;
        loop {
            let answer = self.read();
            match (&written, answer) {
                (_, Ok(answer)) if answer.status() == 100 && Instant::now() < deadline => {}
                (_, Ok(answer)) => return Ok(answer),
                (Err(error), Err(_)) => return Err(io::Error::new(error.kind(), error.to_string())),
                (Ok(()), Err(error)) => return Err(error),
            }
        }
    }
}

/// Sends one request on a new connection.
pub fn call_once(
    address: SocketAddr,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    Connection::open(address, timeout.min(Duration::from_secs(1)))?
        .call(first, headers, body, timeout)
}

/// Parsed JSON.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        parse_value(&chars, &mut at)
    }

    pub fn get(&self, name: &str) -> &Self {
        match self {
            Self::Map(map) => map.get(name).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

fn skip_space(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn parse_value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip_space(chars, at);
    match chars.get(*at)? {
        '{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip_space(chars, at);
                if chars.get(*at)? == &'}' {
                    *at += 1;
                    return Some(Json::Map(map));
                }
                let Json::Text(key) = parse_value(chars, at)? else {
                    return None;
                };
                skip_space(chars, at);
                *at += 1;
                map.insert(key, parse_value(chars, at)?);
                skip_space(chars, at);
                if chars.get(*at)? == &',' {
                    *at += 1;
                }
            }
        }
        '[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(chars, at);
                if chars.get(*at)? == &']' {
                    *at += 1;
                    return Some(Json::List(list));
                }
                list.push(parse_value(chars, at)?);
                skip_space(chars, at);
                if chars.get(*at)? == &',' {
                    *at += 1;
                }
            }
        }
        '"' => {
            *at += 1;
            let mut text = String::new();
            loop {
                let c = *chars.get(*at)?;
                *at += 1;
                match c {
                    '"' => return Some(Json::Text(text)),
                    '\\' => {
                        let escaped = *chars.get(*at)?;
                        *at += 1;
                        match escaped {
                            'n' => text.push('\n'),
                            't' => text.push('\t'),
                            'r' => text.push('\r'),
                            'u' => {
                                let hex: String = chars.get(*at..*at + 4)?.iter().collect();
                                *at += 4;
                                let code = u32::from_str_radix(&hex, 16).ok()?;
                                text.push(char::from_u32(code).unwrap_or('?'));
                            }
                            other => text.push(other),
                        }
                    }
                    other => text.push(other),
                }
            }
        }
        _ => {
            let start = *at;
            while chars
                .get(*at)
                .is_some_and(|c| !matches!(c, ',' | '}' | ']') && !c.is_whitespace())
            {
                *at += 1;
            }
            let word: String = chars[start..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                word => word.parse().ok().map(Json::Number),
            }
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = 0_u32;
        for index in 0..3 {
            group = group << 8 | u32::from(*chunk.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            let digit = BASE64[(group >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index > chunk.len() { '=' } else { digit });
        }
    }
    text
}
