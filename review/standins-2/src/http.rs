//! Reads HTTP/1.1 messages from sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A message, as far as the stand-ins need it.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// Whole body; empty for a response whose body is read by [`Reader::chunk`].
    pub body: Vec<u8>,
}

impl Message {
    /// First value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
    }

    pub fn content_length(&self) -> Option<usize> {
        self.header("content-length").parse().ok()
    }
}

/// Buffered reader of one connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Reader {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Writes to the connection.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(())
    }

    /// Whole lines up to a blank one.
    pub fn head(&mut self) -> io::Result<Message> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&head).into_owned();
                let mut lines = text.split("\r\n").filter(|line| !line.is_empty());
                let first_line = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                });
                return Ok(Message {
                    first_line,
                    headers: headers.collect(),
                    body: Vec::new(),
                });
            }
            self.fill()?;
        }
    }

    /// This many bytes.
    pub fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// The data of the next chunk; `None` after the last one.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let size = self.line()?;
        let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        if size == 0 {
            while !self.line()?.is_empty() {}
            return Ok(None);
        }
        let data = self.exact(size)?;
        self.exact(2)?;
        Ok(Some(data))
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// A whole message with a length or in chunks.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        if message.is_chunked() {
            while let Some(data) = self.chunk()? {
                message.body.extend(data);
            }
        } else if let Some(length) = message.content_length() {
            message.body = self.exact(length)?;
        }
        Ok(message)
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}
