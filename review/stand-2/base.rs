//! JSON, base64 and HTTP/1.1 for the stand-ins, with the standard library only.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A JSON value. Numbers are whole; a fraction is cut off.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(i64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn number(&self) -> i64 {
        if let Json::Number(number) = self { *number } else { 0 }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        parser.value()
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        (self.peek()? == expected).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.take(b'{')?;
                let mut fields = Vec::new();
                while self.peek()? != b'}' {
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.push((name, self.value()?));
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.take(b'}')?;
                Some(Json::Object(fields))
            }
            b'[' => {
                self.take(b'[')?;
                let mut list = Vec::new();
                while self.peek()? != b']' {
                    list.push(self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.take(b']')?;
                Some(Json::List(list))
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                let is_part = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                let whole = text.parse::<i64>().ok();
                whole.or_else(|| text.parse::<f64>().ok().map(|f| f as i64)).map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                            out.extend(code.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().chain([0, 0].iter()).take(3);
        let bits = group.fold(0u32, |bits, byte| bits << 8 | u32::from(*byte));
        for n in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * n) & 63) as usize];
            out.push(if n <= chunk.len() { digit as char } else { '=' });
        }
    }
    out
}

/// A request as a stand-in server receives it.
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Json,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| &**value)
    }

    /// A field of the query.
    pub fn query(&self, name: &str) -> &str {
        let query = self.path.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value)
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Ok(Some((first.trim_end().to_owned(), headers)))
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> io::Result<String> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Serves `listener` with a thread for each connection. `handler` returns status and body, or `None`
/// to close the connection without an answer.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(&Request) -> Option<(u16, String)> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection<F>(mut stream: TcpStream, handler: &F) -> io::Result<()>
where
    F: Fn(&Request) -> Option<(u16, String)>,
{
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some((first, headers)) = read_head(&mut reader)? {
        let body = read_body(&mut reader, &headers)?;
        let mut words = first.split(' ');
        let path = words.nth(1).unwrap_or_default().to_owned();
        let body = Json::parse(&body).unwrap_or(Json::Null);
        let Some((status, body)) = handler(&Request { path, headers, body }) else {
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all((head + &body).as_bytes())?;
    }
    Ok(())
}

/// Sends a request on a new connection and returns status and body; the connection is closed after
/// `time_limit` if no complete answer has arrived.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    time_limit: Duration,
) -> Result<(u16, String), String> {
    let end = Instant::now() + time_limit;
    let left = || end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let text = |e: io::Error| match e.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => "no answer in time".to_owned(),
        _ => format!("connection: {e}"),
    };
    let mut stream = TcpStream::connect_timeout(&address, left()).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    let mut req = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        req += &format!("{name}: {value}\r\n");
    }
    req += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(req.as_bytes()).map_err(text)?;
    stream.set_read_timeout(Some(left())).map_err(text)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader).map_err(text)?;
    let (first, headers) = head.ok_or("connection: closed without an answer")?;
    let body = read_body(&mut reader, &headers).map_err(text)?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok((status.ok_or("no status")?, body))
}
