//! HTTP/1.1 messages, read and written on blocking sockets.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    /// Headers, with names in lower case. Of several with one name the last counts.
    pub headers: HashMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// A header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// Path of a request, without the query.
    pub fn path(&self) -> &str {
        let target = self.line.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    /// A field of a request's query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let target = self.line.split(' ').nth(1)?;
        let (_, query) = target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v)
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let code = self.line.split(' ').nth(1).unwrap_or_default();
        code.parse().unwrap_or(0)
    }
}

/// A connection with its read buffer.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            reader: BufReader::new(stream),
        }
    }

    /// Connects to `to` from the address `from`'s side of the loopback interface.
    pub fn open(to: SocketAddr, wait: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, wait)?;
        stream.set_read_timeout(Some(wait))?;
        Ok(Self::new(stream))
    }

    /// Another handle for writing.
    pub fn writer(&self) -> io::Result<TcpStream> {
        self.reader.get_ref().try_clone()
    }

    /// Whether the peer has closed or reset the connection.
    pub fn is_closed(&self) -> bool {
        let stream = self.reader.get_ref();
        let _ = stream.set_nonblocking(true);
        let peeked = stream.peek(&mut [0]);
        let _ = stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads the head of a message; `None` at the end of the connection.
    fn read_head(&mut self) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        loop {
            let mut line = Vec::new();
            if self.reader.read_until(b'\n', &mut line)? == 0 {
                return Ok(None);
            }
            let text = String::from_utf8_lossy(&line);
            let text = text.trim_end();
            if message.line.is_empty() {
                message.line = text.to_owned();
            } else if text.is_empty() {
                return Ok(Some(message));
            } else if let Some((name, value)) = text.split_once(':') {
                let name = name.to_ascii_lowercase();
                message.headers.insert(name, value.trim().to_owned());
            }
        }
    }

    /// Reads a request, or a response with its whole body; `None` at the end of the connection.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        if message.header("transfer-encoding") == "chunked" {
            message.body = self.read_chunks()?;
            return Ok(Some(message));
        }
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        self.reader.read_exact(&mut message.body)?;
        Ok(Some(message))
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let start = body.len();
            body.resize(start + size + 2, 0);
            self.reader.read_exact(&mut body[start..])?;
            body.truncate(start + size);
            if size == 0 {
                return Ok(body);
            }
        }
    }
}

/// A response with a body of known length.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// A chunk of a response with a body of unknown length.
pub fn chunk(data: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat()
}
