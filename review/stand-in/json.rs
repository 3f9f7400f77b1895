//! A small JSON reader, enough for the bodies that nodes send to the store.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut position = 0;
        let value = read_value(bytes, &mut position)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        if let Json::Object(fields) = self {
            for (key, value) in fields {
                if key == name {
                    return value;
                }
            }
        }
        &Json::Null
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

fn skip_space(bytes: &[u8], position: &mut usize) {
    while bytes.get(*position).is_some_and(u8::is_ascii_whitespace) {
        *position += 1;
    }
}

fn read_value(bytes: &[u8], position: &mut usize) -> Option<Json> {
    skip_space(bytes, position);
    match *bytes.get(*position)? {
        b'{' => {
            *position += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(bytes, position);
                match *bytes.get(*position)? {
                    b'}' => {
                        *position += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *position += 1,
                    _ => {
                        let key = read_text(bytes, position)?;
                        skip_space(bytes, position);
                        if *bytes.get(*position)? != b':' {
                            return None;
                        }
                        *position += 1;
                        fields.push((key, read_value(bytes, position)?));
                    }
                }
            }
        }
        b'[' => {
            *position += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, position);
                match *bytes.get(*position)? {
                    b']' => {
                        *position += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *position += 1,
                    _ => items.push(read_value(bytes, position)?),
                }
            }
        }
        b'"' => read_text(bytes, position).map(Json::Text),
        b't' => {
            *position += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *position += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *position += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *position;
            while bytes
                .get(*position)
                .is_some_and(|byte| byte.is_ascii_digit() || b"+-.eE".contains(byte))
            {
                *position += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*position]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

fn read_text(bytes: &[u8], position: &mut usize) -> Option<String> {
    if *bytes.get(*position)? != b'"' {
        return None;
    }
    *position += 1;
    let mut text = Vec::new();
    loop {
        match *bytes.get(*position)? {
            b'"' => {
                *position += 1;
                return String::from_utf8(text).ok();
            }
            b'\\' => {
                *position += 1;
                match *bytes.get(*position)? {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'u' => {
                        let digits = bytes.get(*position + 1..*position + 5)?;
                        let digits = std::str::from_utf8(digits).ok()?;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        let character = char::from_u32(code).unwrap_or('?');
                        let mut buffer = [0; 4];
                        text.extend(character.encode_utf8(&mut buffer).as_bytes());
                        *position += 4;
                    }
                    other => text.push(other),
                }
                *position += 1;
            }
            byte => {
                text.push(byte);
                *position += 1;
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as standard base64 with padding.
pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = u32::from(chunk[0]) << 16;
        group |= u32::from(chunk.get(1).copied().unwrap_or(0)) << 8;
        group |= u32::from(chunk.get(2).copied().unwrap_or(0));
        for place in 0..4 {
            if place <= chunk.len() {
                let index = (group >> (18 - 6 * place)) & 63;
                text.push(char::from(ALPHABET[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Decodes standard base64; characters outside the alphabet are skipped.
pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut group, mut bits) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(value) = ALPHABET.iter().position(|letter| *letter == byte) else {
            continue;
        };
        group = (group << 6) | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((group >> bits) as u8);
            group &= (1 << bits) - 1;
        }
    }
    bytes
}
