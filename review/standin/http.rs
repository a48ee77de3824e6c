//! Just enough of HTTP/1.1 and JSON for the interfaces of the users' pages.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A request: target with its query, body. The paths of the interfaces differ by method.
pub struct Request {
    pub target: String,
    pub body: Vec<u8>,
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((line, body)) = read_message(stream)? else { return Ok(None) };
    let mut words = line.split(' ');
    let target = words.nth(1).unwrap_or_default().to_owned();
    Ok(Some(Request { target, body }))
}

/// Sends a request and reads the status of its response.
pub fn call(
    stream: &mut BufReader<TcpStream>,
    method: &str,
    target: &str,
    body: &str,
) -> io::Result<u16> {
    let text = format!(
        "{method} {target} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.get_mut().write_all(text.as_bytes())?;
    let Some((line, _)) = read_message(stream)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    Ok(line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0))
}

pub fn respond(
    stream: &mut BufReader<TcpStream>,
    status: u16,
    body: &str,
) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.get_mut().write_all(text.as_bytes())
}

fn read_message(
    stream: &mut BufReader<TcpStream>,
) -> io::Result<Option<(String, Vec<u8>)>> {
    let mut first = String::new();
    if stream.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut length = 0;
    loop {
        let mut line = String::new();
        stream.read_line(&mut line)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(Some((first.trim_end().to_owned(), body)))
}

/// The value of a field in the query of a request target.
pub fn query(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let pair = query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })?;
    let mut bytes = Vec::new();
    let mut rest = pair.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let hex = [rest.next()?, rest.next()?];
            bytes.push(u8::from_str_radix(std::str::from_utf8(&hex).ok()?, 16).ok()?);
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8(bytes).ok()
}

/// A JSON value.
#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        value(bytes, &mut at)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> f64 {
        if let Json::Number(number) = self { *number } else { 0.0 }
    }
}

fn skip(b: &[u8], at: &mut usize) {
    while b.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Option<Json> {
    skip(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Map(map));
                    }
                    b',' | b':' => *at += 1,
                    _ => {
                        let Json::Text(key) = value(b, at)? else { return None };
                        skip(b, at);
                        *at += 1;
                        map.insert(key, value(b, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(value(b, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let start = *at;
            while *b.get(*at)? != b'"' {
                *at += 1;
            }
            let text = std::str::from_utf8(&b[start..*at]).ok()?.to_owned();
            *at += 1;
            Some(Json::Text(text))
        }
        _ => {
            let start = *at;
            while b.get(*at).is_some_and(|c| !b",]} \n\r\t".contains(c)) {
                *at += 1;
            }
            let word = std::str::from_utf8(&b[start..*at]).ok()?;
            Some(word.parse().map_or(Json::Null, Json::Number))
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] =
        b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(DIGITS[(word >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
