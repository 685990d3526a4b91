//! A connection that carries frames in both directions, as the request and
//! the response body of a single HTTP/2 stream.

use std::{io, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use figrill_protocol::{
    codec::{self, HEADER_BYTES},
    message::Frame,
};
use h2::{RecvStream, SendStream, client, server};
use http::{Request, Response};
use tokio::net::TcpStream;

use crate::runtime::with_timeout;

/// The flow-control window: the maximum number of bytes in flight on a stream
/// in one direction.
const WINDOW_BYTES: u32 = 1024 * 1024;

/// The maximum number of bytes that are passed to `h2` at once.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// The time limit for connecting and opening the stream.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// The sending half of a stream.
pub(crate) struct Writer {
    send: SendStream<Bytes>,
}

/// The receiving half of a stream.
pub(crate) struct Reader {
    recv: RecvStream,
    /// Received bytes that are not decoded yet.
    buf: BytesMut,
}

fn io_error(e: impl std::fmt::Display) -> io::Error {
    io::Error::other(e.to_string())
}

/// Dials `address` and opens the stream.
pub(crate) async fn dial(address: &str) -> io::Result<(Writer, Reader)> {
    let open = async {
        let tcp = TcpStream::connect(address).await?;
        tcp.set_nodelay(true)?;
        let (send, connection) = client::Builder::new()
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .handshake(tcp)
            .await
            .map_err(io_error)?;
        tokio::spawn(async move {
            // Both halves of the stream report an error of the connection.
            let _ = connection.await;
        });
        let mut send = send.ready().await.map_err(io_error)?;
        let request = Request::post(format!("http://{address}/stream"))
            .body(())
            .map_err(io_error)?;
        let (response, writer) =
            send.send_request(request, false).map_err(io_error)?;
        let recv = response.await.map_err(io_error)?.into_body();
        Ok((Writer { send: writer }, Reader::new(recv)))
    };
    with_timeout(CONNECT_TIMEOUT, open)
        .await
        .unwrap_or_else(|| Err(io::Error::from(io::ErrorKind::TimedOut)))
}

/// Accepts the stream on a new connection. The returned future drives the
/// connection and completes when it is closed; it must be polled for the two
/// halves to make progress.
pub(crate) async fn accept(
    tcp: TcpStream,
) -> io::Result<(Writer, Reader, impl Future<Output = ()>)> {
    tcp.set_nodelay(true)?;
    let mut connection = server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(1)
        .handshake::<_, Bytes>(tcp)
        .await
        .map_err(io_error)?;
    let first = connection.accept().await;
    let (request, mut respond) = first
        .ok_or_else(|| {
            io_error("connection closed before a stream was opened")
        })?
        .map_err(io_error)?;
    let send = respond
        .send_response(Response::new(()), false)
        .map_err(io_error)?;
    let drive = async move {
        // The peer opens no second stream. Waiting for one is what drives the
        // connection, and with it the first stream.
        while let Some(Ok(_)) = connection.accept().await {}
    };
    let reader = Reader::new(request.into_body());
    Ok((Writer { send }, reader, drive))
}

impl Writer {
    /// Sends the bytes of one frame. Waits while the flow-control window is
    /// full, so a slow receiver holds back the sender.
    pub(crate) async fn send(&mut self, frame: Vec<u8>) -> io::Result<()> {
        let mut remaining = Bytes::from(frame);
        while remaining.has_remaining() {
            let requested = remaining.len().min(MAX_CHUNK_BYTES);
            self.send.reserve_capacity(requested);
            let capacity =
                std::future::poll_fn(|cx| self.send.poll_capacity(cx)).await;
            let capacity = capacity
                .ok_or_else(|| io_error("stream is closed"))?
                .map_err(io_error)?;
            if capacity == 0 {
                continue;
            }
            let chunk = remaining.split_to(capacity.min(remaining.len()));
            self.send.send_data(chunk, false).map_err(io_error)?;
        }
        Ok(())
    }
}

impl Reader {
    fn new(recv: RecvStream) -> Self {
        Self {
            recv,
            buf: BytesMut::new(),
        }
    }

    /// Receives the next frame. Returns `None` at the end of the stream.
    pub(crate) async fn next(&mut self) -> io::Result<Option<Frame>> {
        loop {
            if let Some(frame) = self.take_buffered()? {
                return Ok(Some(frame));
            }
            let Some(chunk) = self.recv.data().await else {
                return Ok(None);
            };
            let chunk = chunk.map_err(io_error)?;
            let length = chunk.len();
            self.buf.extend_from_slice(&chunk);
            self.recv
                .flow_control()
                .release_capacity(length)
                .map_err(io_error)?;
        }
    }

    /// Removes the first frame from the buffer. Returns `None` if the buffer
    /// does not hold a complete frame yet.
    fn take_buffered(&mut self) -> io::Result<Option<Frame>> {
        let Some(header) = self.buf.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let frame_length =
            HEADER_BYTES + codec::payload_length(*header).map_err(io_error)?;
        if self.buf.len() < frame_length {
            return Ok(None);
        }
        let frame =
            codec::decode(&self.buf[..frame_length]).map_err(io_error)?;
        self.buf.advance(frame_length);
        Ok(Some(frame))
    }
}
