//! The HTTP API of an entry. Parses requests, checks their tokens, and passes
//! those that need the state machines to the event loop.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use crossbeam::{
    channel::{Receiver, Sender, after, never},
    select,
};
use figrill_coordination::entry::{CallId, Input, Submission};
use figrill_state::{
    error::Kind, event::Code, job::JobId, request::Submit, settings::Tree,
};
use figrill_transport::http::{self, Answer, Call};

use crate::{
    api::{
        self, Principal, SettingsView, SharedSettingsView, json,
        not_run_answer, refusal_answer,
    },
    metrics::Journal,
    query,
};

use super::duty::{Command, NewSettings, OperatorRequest};

/// The maximum time for which a caller can wait for a job in one request for
/// its state.
const MAX_POLL_WAIT: Duration = Duration::from_mins(1);

/// How long a caller's request is held if the entry has just started and does
/// not know the settings yet.
const SETTINGS_TIMEOUT: Duration = Duration::from_secs(2);

/// The interval at which held requests are checked.
const HELD_INTERVAL: Duration = Duration::from_millis(10);

/// A caller's request that waits for the settings.
struct HeldCall {
    call: Box<Call>,
    deadline: Instant,
}

/// The state of the `api` thread.
pub(super) struct Api {
    pub(super) calls: Receiver<http::Event>,
    pub(super) commands: Sender<Command>,
    pub(super) view: SharedSettingsView,
    pub(super) journal: Journal,
    pub(super) bootstrap: String,
}

/// Starts the thread. It ends when the HTTP server has ended.
pub(super) fn start(api: Api) -> io::Result<()> {
    crate::config::spawn_detached("api", move || api.run())
}

/// How a valid request is processed.
enum Route {
    /// The request is answered at once.
    Answer(Answer),
    /// The request of a caller is passed to the entry.
    Entry(Input),
    /// The request of an operator is passed to the event loop.
    Operator(OperatorRequest),
}

impl Api {
    /// Handles requests until the HTTP server has ended.
    fn run(&self) {
        let mut held = Vec::new();
        loop {
            let timer = if held.is_empty() {
                never()
            } else {
                after(HELD_INTERVAL)
            };
            select! {
                recv(self.calls) -> event => match event {
                    Ok(event) => self.handle_event(event, &mut held),
                    Err(_) => return,
                },
                recv(timer) -> _ => {}
            }
            if !held.is_empty() {
                self.check_held(&mut held);
            }
        }
    }

    fn handle_event(&self, event: http::Event, held: &mut Vec<HeldCall>) {
        match event {
            http::Event::Call(call) if self.must_wait(&call) => {
                let deadline = Instant::now() + SETTINGS_TIMEOUT;
                held.push(HeldCall { call, deadline });
            }
            http::Event::Call(call) => self.handle_call(call),
            http::Event::CallerDisconnected { id } => {
                held.retain(|h| h.call.id != id);
                let call = CallId(id);
                let command = Command::CallerDisconnected { call };
                let _ = self.commands.send(command);
            }
        }
    }

    /// Returns whether a request can't be judged yet: without the settings, it
    /// is unknown which tokens and workspaces there are.
    fn must_wait(&self, call: &Call) -> bool {
        call.path.starts_with("/v1/jobs") && !self.view.get().known
    }

    /// Handles the held requests if the settings are known by now, and refuses
    /// those that have waited for too long.
    fn check_held(&self, held: &mut Vec<HeldCall>) {
        let now = Instant::now();
        for HeldCall { call, deadline } in std::mem::take(held) {
            if !self.must_wait(&call) {
                self.handle_call(call);
            } else if now < deadline {
                held.push(HeldCall { call, deadline });
            } else {
                refuse_held(*call);
            }
        }
    }

    fn handle_call(&self, call: Box<Call>) {
        let view = self.view.get();
        let unhandled =
            api::handle_common(call, &view, &self.bootstrap, &self.journal);
        let Some(call) = unhandled else { return };
        let route = self.route(&call, &view);
        let responder = call.responder;
        let command = match route {
            Ok(Route::Answer(answer)) => return responder.send(answer),
            Ok(Route::Entry(input)) => {
                let call = CallId(call.id);
                Command::CallerRequest {
                    call,
                    input,
                    responder,
                }
            }
            Ok(Route::Operator(request)) => {
                Command::Operator { request, responder }
            }
            Err(answer) => return responder.send(*answer),
        };
        if let Err(unsent) = self.commands.send(command) {
            // The event loop has ended.
            unsent.0.refuse(Kind::Draining);
        }
    }

    fn route(
        &self,
        call: &Call,
        view: &SettingsView,
    ) -> Result<Route, Box<Answer>> {
        let path: Vec<&str> = call.path.trim_matches('/').split('/').collect();
        let method = call.method.as_str();
        match (method, path.as_slice()) {
            ("POST", ["v1", "jobs"]) => self.submit(call, view),
            ("GET", ["v1", "jobs", id]) => {
                let principal = self.authenticate(call, view)?;
                let wait =
                    query::seconds(&call.query, "wait_s", MAX_POLL_WAIT);
                Ok(Route::Entry(Input::Poll {
                    call: CallId(call.id),
                    job: job_id(id)?,
                    scope: principal.scope,
                    wait: wait.unwrap_or_default(),
                }))
            }
            ("DELETE", ["v1", "jobs", id]) => {
                let principal = self.authenticate(call, view)?;
                Ok(Route::Entry(Input::Cancel {
                    call: CallId(call.id),
                    job: job_id(id)?,
                    scope: principal.scope,
                }))
            }
            ("GET", ["v1", "settings"]) => {
                self.authenticate_operator(call, view)?;
                Ok(Route::Answer(json(200, &view.record)))
            }
            ("PUT", ["v1", "settings"]) => self.apply_settings(call, view),
            ("GET", ["v1", "status"]) => {
                self.authenticate_operator(call, view)?;
                Ok(Route::Operator(OperatorRequest::Status))
            }
            ("GET", ["v1", "processes"]) => {
                self.authenticate_operator(call, view)?;
                Ok(Route::Operator(OperatorRequest::Processes))
            }
            ("POST", ["v1", "drain"]) => {
                self.authenticate_operator(call, view)?;
                Ok(Route::Operator(OperatorRequest::Drain))
            }
            _ => {
                let detail = format!("{method} {}", call.path);
                Err(Box::new(refusal_answer(Kind::NotFound, &detail)))
            }
        }
    }

    fn authenticate(
        &self,
        call: &Call,
        view: &SettingsView,
    ) -> Result<Principal, Box<Answer>> {
        let token = call.token.as_deref();
        api::authenticate(token, &view.tree, &self.bootstrap)
            .map_err(|kind| Box::new(self.auth_error(kind)))
    }

    fn authenticate_operator(
        &self,
        call: &Call,
        view: &SettingsView,
    ) -> Result<Principal, Box<Answer>> {
        let token = call.token.as_deref();
        api::authenticate_operator(token, &view.tree, &self.bootstrap)
            .map_err(|kind| Box::new(self.auth_error(kind)))
    }

    /// Records that a request was rejected, and returns the answer.
    fn auth_error(&self, kind: Kind) -> Answer {
        self.journal
            .record_event(Code::JobRefused, format!("why={kind}"));
        refusal_answer(kind, "")
    }

    /// Parses and authorises the submission of a job.
    fn submit(
        &self,
        call: &Call,
        view: &SettingsView,
    ) -> Result<Route, Box<Answer>> {
        let principal = self.authenticate(call, view)?;
        let bad_request = |detail: &str| {
            Box::new(not_run_answer(Kind::BadRequest, detail, None))
        };
        let text = std::str::from_utf8(&call.body)
            .map_err(|_| bad_request("the body is not UTF-8"))?;
        let submit = Submit::parse(text).map_err(|e| bad_request(&e))?;
        let differs = |name: &String| *name != submit.workspace;
        if principal.scope.as_ref().is_some_and(differs) {
            return Err(Box::new(not_run_answer(Kind::Forbidden, "", None)));
        }
        let policy = view.tree.policy(&submit.workspace, &submit.service);
        let Some(policy) = policy else {
            let detail = format!("workspace {}", submit.workspace);
            let answer = not_run_answer(Kind::UnknownWorkspace, &detail, None);
            return Err(Box::new(answer));
        };
        let wait = submit
            .wait_s
            .map(Duration::from_secs_f64)
            .map_or(policy.call_wait, |w| w.min(policy.call_wait));
        let id = JobId(rand::random::<u128>());
        let submission = Submission {
            job: submit.job(id),
            key: submit.key.clone(),
            request: text.to_owned(),
            wait,
        };
        Ok(Route::Entry(Input::Submit {
            call: CallId(call.id),
            submission: Box::new(submission),
        }))
    }

    /// Parses and validates new settings.
    fn apply_settings(
        &self,
        call: &Call,
        view: &SettingsView,
    ) -> Result<Route, Box<Answer>> {
        let principal = self.authenticate_operator(call, view)?;
        let bad_settings =
            |detail: &str| Box::new(refusal_answer(Kind::BadSettings, detail));
        let text = std::str::from_utf8(&call.body)
            .map_err(|_| bad_settings("the body is not UTF-8"))?;
        let file = query::value(&call.query, "file").unwrap_or("settings");
        let tree = Tree::parse(text, file)
            .map_err(|e| bad_settings(&e.to_string()))?;
        let base = query::number(&call.query, "base")
            .ok_or_else(|| bad_settings("?base=REVISION is missing"))?;
        let change = query::value(&call.query, "change")
            .filter(|c| !c.is_empty() && c.len() <= 64)
            .ok_or_else(|| bad_settings("?change=NAME is missing"))?;
        Ok(Route::Operator(OperatorRequest::Apply(Box::new(
            NewSettings {
                tree: Arc::new(tree),
                text: text.to_owned(),
                base,
                change: change.to_owned(),
                by: principal.name,
            },
        ))))
    }
}

/// Refuses a request because the settings could not be learnt in time. The
/// caller may retry.
fn refuse_held(call: Call) {
    let detail = "the settings are not known yet";
    // Only a submission is known not to have run.
    call.responder.send(if call.method == "POST" {
        not_run_answer(Kind::StoreDown, detail, None)
    } else {
        refusal_answer(Kind::StoreDown, detail)
    });
}

fn job_id(text: &str) -> Result<JobId, Box<Answer>> {
    text.parse().map_err(|e: figrill_state::job::BadJobId| {
        Box::new(refusal_answer(Kind::BadRequest, &e.to_string()))
    })
}
