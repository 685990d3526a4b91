//! One `h2` stream that carries frames both ways.

use std::{io, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use figrill_protocol::{
    codec::{self, HEADER_BYTES},
    message::Frame,
};
use h2::{RecvStream, SendStream, client, server};
use http::{Request, Response};
use tokio::net::TcpStream;

use crate::runtime::within;

/// Bytes that may be under way on a stream.
const WINDOW_BYTES: u32 = 1024 * 1024;

/// The most bytes sent at once.
const CHUNK_BYTES: usize = 64 * 1024;

/// How long a connection may take to be made.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// The sending half.
pub(crate) struct Writer {
    send: SendStream<Bytes>,
}

/// The receiving half.
pub(crate) struct Reader {
    recv: RecvStream,
    buf: BytesMut,
}

fn other(e: impl std::fmt::Display) -> io::Error {
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
            .map_err(other)?;
        tokio::spawn(async move {
            // Its end is seen by both halves of the stream.
            let _ = connection.await;
        });
        let mut send = send.ready().await.map_err(other)?;
        let request = Request::post(format!("http://{address}/stream"))
            .body(())
            .map_err(other)?;
        let (response, writer) =
            send.send_request(request, false).map_err(other)?;
        let recv = response.await.map_err(other)?.into_body();
        Ok((Writer { send: writer }, Reader::new(recv)))
    };
    within(CONNECT_TIMEOUT, open)
        .await
        .unwrap_or_else(|| Err(io::Error::from(io::ErrorKind::TimedOut)))
}

/// Accepts the stream on a fresh connection. The second value drives the
/// connection and ends with it.
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
        .map_err(other)?;
    let first = connection.accept().await;
    let (request, mut respond) = first
        .ok_or_else(|| other("no stream was opened"))?
        .map_err(other)?;
    let send = respond
        .send_response(Response::new(()), false)
        .map_err(other)?;
    let drive = async move {
        // No second stream is expected; polling drives the first.
        while let Some(Ok(_)) = connection.accept().await {}
    };
    let reader = Reader::new(request.into_body());
    Ok((Writer { send }, reader, drive))
}

impl Writer {
    /// Sends the bytes of one frame, as fast as the other side reads.
    pub(crate) async fn send(&mut self, frame: Vec<u8>) -> io::Result<()> {
        let mut rest = Bytes::from(frame);
        while rest.has_remaining() {
            let wanted = rest.len().min(CHUNK_BYTES);
            self.send.reserve_capacity(wanted);
            let room =
                std::future::poll_fn(|cx| self.send.poll_capacity(cx)).await;
            let room = room
                .ok_or_else(|| other("the stream is closed"))?
                .map_err(other)?;
            if room == 0 {
                continue;
            }
            let chunk = rest.split_to(room.min(rest.len()));
            self.send.send_data(chunk, false).map_err(other)?;
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

    /// The next frame; `None` at the end of the stream.
    pub(crate) async fn next(&mut self) -> io::Result<Option<Frame>> {
        loop {
            if let Some(frame) = self.take()? {
                return Ok(Some(frame));
            }
            let Some(chunk) = self.recv.data().await else {
                return Ok(None);
            };
            let chunk = chunk.map_err(other)?;
            let length = chunk.len();
            self.buf.extend_from_slice(&chunk);
            self.recv
                .flow_control()
                .release_capacity(length)
                .map_err(other)?;
        }
    }

    fn take(&mut self) -> io::Result<Option<Frame>> {
        let Some(header) = self.buf.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let whole =
            HEADER_BYTES + codec::payload_length(*header).map_err(other)?;
        if self.buf.len() < whole {
            return Ok(None);
        }
        let frame = codec::decode(&self.buf[..whole]).map_err(other)?;
        self.buf.advance(whole);
        Ok(Some(frame))
    }
}
