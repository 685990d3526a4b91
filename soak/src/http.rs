//! A connection over which requests are sent one after the other until the
//! peer closes it, whatever `connection` header its answers have.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// The maximum time to wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum size of an answer's body, in bytes.
const MAX_BODY_BYTES: u64 = 1 << 20;

/// A request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The method, such as `PUT`.
    pub method: &'a str,
    /// The path.
    pub path: &'a str,
    /// Further headers, each with its line end.
    pub headers: &'a str,
    /// The body; empty if there is none.
    pub body: &'a [u8],
}

/// An open connection.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects to `address`. Each answer may take up to `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no connection in time.
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        let reader = BufReader::new(stream);
        Ok(Self { reader })
    }

    /// Sends a request. Returns the status and the body of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no complete answer; the connection is of
    /// no use then.
    pub fn call(&mut self, req: Request<'_>) -> io::Result<(u16, Vec<u8>)> {
        let Request {
            method,
            path,
            headers,
            body,
        } = req;
        let length = body.len();
        let mut text = format!(
            "{method} {path} HTTP/1.1\r\nhost: jobs.example\r\n{headers}\
             content-type: application/json\r\ncontent-length: {length}\r\n\
             \r\n"
        )
        .into_bytes();
        text.extend_from_slice(body);
        self.reader.get_mut().write_all(&text)?;
        let status = self.read_line()?;
        let status = status.split(' ').nth(1).and_then(|s| s.parse().ok());
        let length = self.read_headers()?;
        let mut answer = vec![0; usize::try_from(length).unwrap_or(0)];
        self.reader.read_exact(&mut answer)?;
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        Ok((status, answer))
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_ascii_lowercase())
    }

    /// Reads up to the end of the headers. Returns the length of the body.
    fn read_headers(&mut self) -> io::Result<u64> {
        let mut length = 0;
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                return Ok(length);
            }
            if let Some(value) = line.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap_or(0);
            }
            if length > MAX_BODY_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
        }
    }
}
