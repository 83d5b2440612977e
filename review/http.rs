//! A small blocking HTTP/1.1 client, and the parser that it shares with the stand-in for servers.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// The first line, the headers and the bytes after them.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the length of the body, if the head announces one.
    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }

    /// Returns whether the body is chunked.
    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked"))
    }
}

/// An answer as the caller sees it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the message ended as its framing says.
    pub is_complete: bool,
}

/// Reads from a connection and keeps what was read too far.
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let n = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n > 0)
    }

    /// Reads a head; `None` if the connection ends before it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|it| it == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|it| it.split_once(':'));
                let headers =
                    headers.map(|(k, v)| (k.trim().to_owned(), v.trim().to_owned())).collect();
                return Ok(Some(Head { line, headers }));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads `n` bytes, or fewer if the connection ends.
    pub fn exactly(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < n {
            if !self.fill()? {
                break;
            }
        }
        let n = n.min(self.buf.len());
        Ok(self.buf.drain(..n).collect())
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|it| it == b"\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(Some(text));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a chunked body into `body`; returns whether its end arrived.
    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(line) = self.line()? else { return Ok(false) };
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return Ok(false) };
            if size == 0 {
                return Ok(self.line()?.is_some());
            }
            let piece = self.exactly(size)?;
            let is_whole = piece.len() == size;
            body.extend_from_slice(&piece);
            if !is_whole || self.line()?.is_none() {
                return Ok(false);
            }
        }
    }

    /// Reads an answer. A connection that breaks leaves an incomplete answer.
    pub fn answer(&mut self) -> Answer {
        let Ok(Some(head)) = self.head() else { return Answer::default() };
        let status = head.line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
        let mut body = Vec::new();
        let is_complete = match (head.length(), head.is_chunked()) {
            (Some(n), _) => match self.exactly(n) {
                Ok(it) => {
                    body = it;
                    body.len() == n
                }
                Err(_) => false,
            },
            (None, true) => self.chunks(&mut body).unwrap_or(false),
            (None, false) => loop {
                match self.fill() {
                    Ok(true) => {}
                    Ok(false) => {
                        body = std::mem::take(&mut self.buf);
                        break true;
                    }
                    Err(_) => break false,
                }
            },
        };
        Answer { status, head, body, is_complete }
    }
}

/// Connects with a limit on the time of each read.
pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends bytes over a new connection and reads one answer.
pub fn exchange(address: SocketAddr, bytes: &[u8], limit: Duration) -> io::Result<Answer> {
    let mut stream = connect(address, limit)?;
    stream.write_all(bytes)?;
    Ok(Reader::new(stream).answer())
}

/// Formats a request with a length.
pub fn request(line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{line} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
