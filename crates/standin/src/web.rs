//! What the stand-ins' servers have in common.

use std::{
    io::{self, Read},
    net::{SocketAddr, TcpListener},
    thread,
};

use astra::{Body, Request, Response, ResponseBuilder, Server};

/// The most requests served at once; a long poll holds one.
const WORKERS_MAX: usize = 4096;

/// A request that was read whole.
pub(crate) struct Call {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) checkpoint_bytes: Option<usize>,
    pub(crate) body: Vec<u8>,
}

/// An answer.
#[derive(Default)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Vec<u8>,
}

impl Reply {
    pub(crate) fn status(status: u16) -> Self {
        Self {
            status,
            ..Self::default()
        }
    }

    pub(crate) fn body(body: Vec<u8>) -> Self {
        Self {
            status: 200,
            body,
            ..Self::default()
        }
    }

    pub(crate) fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }
}

impl Call {
    pub(crate) fn value(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        found.next().map(|(_, value)| value)
    }

    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.value(name)?.parse().ok()
    }
}

fn read(request: Request) -> io::Result<Call> {
    let (head, mut body) = request.into_parts();
    let mut buf = Vec::new();
    body.reader().read_to_end(&mut buf)?;
    let checkpoint_bytes = head
        .headers
        .get("x-checkpoint-bytes")
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse().ok());
    Ok(Call {
        method: head.method.to_string(),
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        checkpoint_bytes,
        body: buf,
    })
}

fn render(reply: Reply) -> Response {
    let mut builder = ResponseBuilder::new().status(reply.status);
    for (name, value) in reply.headers {
        builder = builder.header(name, value);
    }
    let response = builder.body(Body::new(reply.body));
    response.unwrap_or_else(|_| Response::new(Body::empty()))
}

/// Serves on `listen` until the process ends; returns the bound address.
pub(crate) fn serve(
    listen: &str,
    answer: impl Fn(&Call) -> Reply + Clone + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    // The library panics on an address in use, so it is tried first.
    let probe = TcpListener::bind(listen)?;
    let address = probe.local_addr()?;
    drop(probe);
    let server = Server::bind(address).max_workers(WORKERS_MAX).http1_only();
    thread::Builder::new()
        .name("http".to_owned())
        .spawn(move || {
            let result = server.serve(move |request, _| match read(request) {
                Ok(call) => render(answer(&call)),
                Err(_) => render(Reply::status(400)),
            });
            if let Err(e) = result {
                eprintln!("the stand-in has stopped serving: {e}");
            }
        })?;
    Ok(address)
}
