//! HTTP/1.1 over TCP, on loopback addresses only.

use std::{
    ffi::c_void,
    io::{self, BufRead, BufReader, ErrorKind, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Level and name of the option by which closing a socket resets its connection, on Linux.
const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const c_void, length: u32) -> i32;
}

/// A request as a server receives it.
pub struct Request {
    pub path: String,
    pub instance: Option<String>,
    pub body: String,
}

/// Reads the lines of a head; `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Vec<String>>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            return Ok(Some(lines));
        }
        lines.push(line);
    }
}

fn header<'a>(head: &'a [String], name: &str) -> Option<&'a str> {
    let fields = head.iter().skip(1).filter_map(|line| line.split_once(':'));
    fields.into_iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim())
}

fn read_body(reader: &mut impl BufRead, head: &[String]) -> io::Result<String> {
    let length = header(head, "content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Serves requests on a free port of the loopback interface and returns its address. No answer
/// closes the connection.
pub fn serve<F>(handler: F) -> io::Result<SocketAddr>
where
    F: Fn(Request) -> Option<(u16, String)> + Send + Sync + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    Ok(address)
}

fn serve_connection<F>(stream: TcpStream, handler: &F) -> io::Result<()>
where
    F: Fn(Request) -> Option<(u16, String)>,
{
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader)? {
        let path = head.first().and_then(|line| line.split(' ').nth(1)).unwrap_or("").to_owned();
        let instance = header(&head, "x-expect-instance").map(str::to_owned);
        let body = read_body(&mut reader, &head)?;
        let Some((status, body)) = handler(Request { path, instance, body }) else { break };
        let head = format!(
            "HTTP/1.1 {status} status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all(format!("{head}{body}").as_bytes())?;
    }
    Ok(())
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub body: String,
    pub deadline_ms: Option<u64>,
}

/// Host of all queues of the stand-ins.
pub const HOST: &str = "nony24.example";

impl Call {
    fn bytes(&self) -> Vec<u8> {
        let Call { method, path, body, deadline_ms } = self;
        let deadline = deadline_ms.map(|ms| format!("X-Deadline-Ms: {ms}\r\n")).unwrap_or_default();
        let length = body.len();
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{deadline}Content-Type: application/json\r\n\
             Content-Length: {length}\r\n\r\n{body}"
        )
        .into_bytes()
    }
}

/// An open channel of a client.
pub struct Channel {
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Channel { reader: BufReader::new(stream) })
    }

    /// Sends a request without waiting for the response to an earlier one.
    pub fn send(&mut self, call: &Call) -> io::Result<()> {
        self.reader.get_mut().write_all(&call.bytes())
    }

    /// Reads the next response, for `limit` at most.
    pub fn response(&mut self, limit: Duration) -> io::Result<(u16, String)> {
        let end = Instant::now() + limit;
        // The head is waited for; the rest follows at once.
        while self.reader.buffer().is_empty() {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ErrorKind::TimedOut.into());
            }
            self.reader.get_ref().set_read_timeout(Some(left))?;
            match self.reader.fill_buf() {
                Ok([]) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(_) => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) => return Err(e),
            }
        }
        self.reader.get_ref().set_read_timeout(Some(Duration::from_secs(2)))?;
        let head = read_head(&mut self.reader)?.ok_or(ErrorKind::UnexpectedEof)?;
        let status = head.first().and_then(|line| line.split(' ').nth(1)).unwrap_or("");
        let status = status.parse().map_err(|_| ErrorKind::InvalidData)?;
        Ok((status, read_body(&mut self.reader, &head)?))
    }

    /// Resets the channel: the kernel discards what is left and sends RST.
    pub fn reset(self) -> io::Result<()> {
        let linger = [1_i32, 0];
        let fd = self.reader.get_ref().as_raw_fd();
        // SAFETY: the descriptor is open, and the value is a `struct linger` of two integers.
        let res = unsafe {
            setsockopt(
                fd,
                SOL_SOCKET,
                SO_LINGER,
                linger.as_ptr().cast(),
                size_of_val(&linger) as u32,
            )
        };
        if res == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
    }
}

/// Sends one request on a channel of its own.
pub fn call(address: SocketAddr, call: &Call, limit: Duration) -> io::Result<(u16, String)> {
    let mut channel = Channel::open(address)?;
    channel.send(call)?;
    channel.response(limit)
}
