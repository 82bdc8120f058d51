//! A small HTTP/1.1 server and client on blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request as a stand-in reads it. Header names are in lower case.
#[derive(Clone, Debug)]
pub struct Request {
    /// When the connection was opened.
    pub opened: Instant,
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// A field of the query. The keys of these stand-ins need no unescaping but for slashes.
    pub fn field(&self, name: &str) -> Option<String> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.into_iter().find(|(key, _)| *key == name)?;
        Some(value.replace("%2F", "/").replace("%2f", "/"))
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.as_str())
}

/// Serves a connection: gets each request and the stream to answer on. Returns whether the
/// connection stays open.
pub type Handler = Arc<dyn Fn(&Request, &mut TcpStream) -> bool + Send + Sync>;

/// Serves `listener` with one thread a connection until the process ends.
pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let opened = Instant::now();
    let mut reader = BufReader::new(reading);
    while let Ok(Some(request)) = read_request(&mut reader, opened) {
        if !handler(&request, &mut stream) {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    if !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_request(reader: &mut impl BufRead, opened: Instant) -> io::Result<Option<Request>> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Ok(None);
    };
    let headers = read_headers(reader)?;
    let length = find(&headers, "content-length").and_then(|l| l.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    if find(&headers, "transfer-encoding").is_some() {
        body = read_chunks(reader).0;
    }
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Ok(Some(Request {
        opened,
        method: method.to_owned(),
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    }))
}

/// Reads a chunked body. Returns what was read, and whether the body was complete.
fn read_chunks(reader: &mut impl BufRead) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    let complete = (|| -> io::Result<bool> {
        loop {
            let line = read_line(reader)?;
            let size = line.split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            body.extend_from_slice(&chunk);
            read_line(reader)?;
            if size == 0 {
                return Ok(true);
            }
        }
    })();
    (body, complete.unwrap_or(false))
}

/// Writes a whole answer.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// A client's view of an answer.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived to its end.
    pub complete: bool,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// A stream that reads at most `rate` bytes a second.
struct Paced {
    stream: TcpStream,
    rate: Option<u64>,
    started: Instant,
    read: u64,
}

impl Read for Paced {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let most = if self.rate.is_some() {
            buffer.len().min(16 << 10)
        } else {
            buffer.len()
        };
        let count = self.stream.read(&mut buffer[..most])?;
        self.read += count as u64;
        if let Some(rate) = self.rate {
            let due = Duration::from_secs_f64(self.read as f64 / rate as f64);
            thread::sleep(due.saturating_sub(self.started.elapsed()));
        }
        Ok(count)
    }
}

/// Sends a request on a new connection and reads the answer, for at most `wait` a read and with at
/// most `rate` bytes a second. An error means that no head of an answer arrived.
pub fn call(
    at: SocketAddr,
    head: &str,
    body: &[u8],
    wait: Duration,
    rate: Option<u64>,
) -> io::Result<Reply> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let paced = Paced {
        stream,
        rate,
        started: Instant::now(),
        read: 0,
    };
    let mut reader = BufReader::new(paced);
    let line = read_line(&mut reader)?;
    let status = line.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let headers = read_headers(&mut reader)?;
    let mut reply = Reply {
        status,
        headers,
        ..Reply::default()
    };
    if reply.header("transfer-encoding").is_some() {
        (reply.body, reply.complete) = read_chunks(&mut reader);
        return Ok(reply);
    }
    let length = reply
        .header("content-length")
        .and_then(|l| l.parse::<u64>().ok());
    let expected = length.unwrap_or(u64::MAX);
    let read = reader.take(expected).read_to_end(&mut reply.body);
    reply.complete = read.is_ok() && length.is_none_or(|l| l == reply.body.len() as u64);
    Ok(reply)
}
