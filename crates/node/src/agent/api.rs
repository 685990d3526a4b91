//! The HTTP API of an agent: the upstream's announcements and the requests of
//! operators.

use std::io;

use crossbeam::channel::{Receiver, Sender};
use figrill_state::error::Kind;
use figrill_transport::{
    http::{self, Answer, Call},
    upstream_client::Announcement,
};
use serde::Serialize;

use crate::{
    api::{self, SettingsView, SharedSettingsView, json, refusal_answer},
    metrics::Journal,
};

use super::duty::Command;

/// The state of the `api` thread.
pub(super) struct Api {
    pub(super) calls: Receiver<http::Event>,
    pub(super) commands: Sender<Command>,
    pub(super) view: SharedSettingsView,
    pub(super) journal: Journal,
    pub(super) bootstrap: String,
}

#[derive(Serialize)]
struct EmptyBody {}

/// Starts the thread. It ends when the HTTP server has ended.
pub(super) fn start(api: Api) -> io::Result<()> {
    crate::config::spawn_detached("api", move || {
        while let Ok(event) = api.calls.recv() {
            if let http::Event::Call(call) = event {
                api.handle_call(call);
            }
        }
    })
}

impl Api {
    fn handle_call(&self, call: Box<Call>) {
        let view = self.view.get();
        let unhandled =
            api::handle_common(call, &view, &self.bootstrap, &self.journal);
        let Some(call) = unhandled else { return };
        let answer = self.route(&call, &view);
        call.responder.send(answer);
    }

    fn route(&self, call: &Call, view: &SettingsView) -> Answer {
        match (call.method.as_str(), call.path.as_str()) {
            // An upstream runs on the same machine as its agent, so
            // announcements from other machines are rejected.
            ("POST", "/v1/announce" | "/v1/leave") if !call.from_loopback => {
                refusal_answer(
                    Kind::Forbidden,
                    "announce from the worker itself",
                )
            }
            ("POST", "/v1/announce") => {
                match serde_json::from_slice::<Announcement>(&call.body) {
                    Ok(announcement) => {
                        self.forward(Command::UpstreamAnnounced(announcement))
                    }
                    Err(e) => refusal_answer(Kind::BadRequest, &e.to_string()),
                }
            }
            ("POST", "/v1/leave") => self.forward(Command::UpstreamLeft),
            ("POST", "/v1/drain") => {
                let token = call.token.as_deref();
                match api::authenticate_operator(
                    token,
                    &view.tree,
                    &self.bootstrap,
                ) {
                    Ok(_) => self.forward(Command::Drain),
                    Err(kind) => refusal_answer(kind, ""),
                }
            }
            (method, path) => {
                refusal_answer(Kind::NotFound, &format!("{method} {path}"))
            }
        }
    }

    fn forward(&self, command: Command) -> Answer {
        match self.commands.send(command) {
            Ok(()) => json(200, &EmptyBody {}),
            Err(_) => refusal_answer(Kind::Draining, ""),
        }
    }
}
