//! Reads callers' requests, checks their tokens and hands what needs a
//! decision to the deciding thread.

use std::{io, sync::Arc, time::Duration};

use crossbeam::channel::{Receiver, Sender};
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

use super::duty::{Command, NewSettings, Question};

/// The longest that a poll may hold its connection.
const POLL_MAX: Duration = Duration::from_mins(1);

/// What the thread works with.
pub(super) struct Api {
    pub(super) calls: Receiver<http::Event>,
    pub(super) commands: Sender<Command>,
    pub(super) view: SharedSettingsView,
    pub(super) journal: Journal,
    pub(super) bootstrap: String,
}

/// Starts the thread; it ends with its ring.
pub(super) fn start(api: Api) -> io::Result<()> {
    crate::config::spawn_detached("api", move || {
        while let Ok(event) = api.calls.recv() {
            match event {
                http::Event::Call(call) => api.call(call),
                http::Event::CallerDisconnected { id } => {
                    let call = CallId(id);
                    let _ = api.commands.send(Command::Gone { call });
                }
            }
        }
    })
}

/// What a request leads to.
enum Step {
    Answer(Answer),
    Caller(Input),
    Ask(Question),
}

impl Api {
    fn call(&self, call: Box<Call>) {
        let view = self.view.get();
        let common =
            api::handle_common(call, &view, &self.bootstrap, &self.journal);
        let Some(call) = common else { return };
        let step = self.route(&call, &view);
        let responder = call.responder;
        let command = match step {
            Ok(Step::Answer(answer)) => return responder.send(answer),
            Ok(Step::Caller(input)) => {
                let call = CallId(call.id);
                Command::Caller {
                    call,
                    input,
                    responder,
                }
            }
            Ok(Step::Ask(question)) => Command::Ask {
                question,
                responder,
            },
            Err(answer) => return responder.send(*answer),
        };
        if let Err(lost) = self.commands.send(command) {
            lost.0.refuse(Kind::Draining);
        }
    }

    fn route(
        &self,
        call: &Call,
        view: &SettingsView,
    ) -> Result<Step, Box<Answer>> {
        let path: Vec<&str> = call.path.trim_matches('/').split('/').collect();
        let method = call.method.as_str();
        match (method, path.as_slice()) {
            ("POST", ["v1", "jobs"]) => self.submit(call, view),
            ("GET", ["v1", "jobs", id]) => {
                let bearer = self.bearer(call, view)?;
                let wait = query::seconds(&call.query, "wait_s", POLL_MAX);
                Ok(Step::Caller(Input::Poll {
                    call: CallId(call.id),
                    job: job_id(id)?,
                    scope: bearer.scope,
                    wait: wait.unwrap_or_default(),
                }))
            }
            ("DELETE", ["v1", "jobs", id]) => {
                let bearer = self.bearer(call, view)?;
                Ok(Step::Caller(Input::Cancel {
                    call: CallId(call.id),
                    job: job_id(id)?,
                    scope: bearer.scope,
                }))
            }
            ("GET", ["v1", "settings"]) => {
                self.operator(call, view)?;
                Ok(Step::Answer(json(200, &view.record)))
            }
            ("PUT", ["v1", "settings"]) => self.apply(call, view),
            ("GET", ["v1", "status"]) => {
                self.operator(call, view)?;
                Ok(Step::Ask(Question::Status))
            }
            ("GET", ["v1", "processes"]) => {
                self.operator(call, view)?;
                Ok(Step::Ask(Question::Processes))
            }
            ("POST", ["v1", "drain"]) => {
                self.operator(call, view)?;
                Ok(Step::Ask(Question::Drain))
            }
            _ => {
                let detail = format!("{method} {}", call.path);
                Err(Box::new(refusal_answer(Kind::NotFound, &detail)))
            }
        }
    }

    fn bearer(
        &self,
        call: &Call,
        view: &SettingsView,
    ) -> Result<Principal, Box<Answer>> {
        let token = call.token.as_deref();
        api::authenticate(token, &view.tree, &self.bootstrap)
            .map_err(|kind| Box::new(self.refused(kind)))
    }

    fn operator(
        &self,
        call: &Call,
        view: &SettingsView,
    ) -> Result<Principal, Box<Answer>> {
        let token = call.token.as_deref();
        api::authenticate_operator(token, &view.tree, &self.bootstrap)
            .map_err(|kind| Box::new(self.refused(kind)))
    }

    fn refused(&self, kind: Kind) -> Answer {
        self.journal
            .record_event(Code::JobRefused, format!("why={kind}"));
        refusal_answer(kind, "")
    }

    fn submit(
        &self,
        call: &Call,
        view: &SettingsView,
    ) -> Result<Step, Box<Answer>> {
        let bearer = self.bearer(call, view)?;
        let bad = |detail: &str| {
            Box::new(not_run_answer(Kind::BadRequest, detail, None))
        };
        let text = std::str::from_utf8(&call.body)
            .map_err(|_| bad("the body is not UTF-8"))?;
        let submit = Submit::parse(text).map_err(|e| bad(&e))?;
        let other = |w: &String| *w != submit.workspace;
        if bearer.scope.as_ref().is_some_and(other) {
            return Err(Box::new(not_run_answer(Kind::Forbidden, "", None)));
        }
        let policy = view.tree.effective(&submit.workspace, &submit.service);
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
        Ok(Step::Caller(Input::Submit {
            call: CallId(call.id),
            submission: Box::new(submission),
        }))
    }

    fn apply(
        &self,
        call: &Call,
        view: &SettingsView,
    ) -> Result<Step, Box<Answer>> {
        let bearer = self.operator(call, view)?;
        let bad =
            |detail: &str| Box::new(refusal_answer(Kind::BadSettings, detail));
        let text = std::str::from_utf8(&call.body)
            .map_err(|_| bad("the body is not UTF-8"))?;
        let file = query::value(&call.query, "file").unwrap_or("settings");
        let tree = Tree::parse(text, file).map_err(|e| bad(&e.to_string()))?;
        let base = query::number(&call.query, "base")
            .ok_or_else(|| bad("?base=REVISION is missing"))?;
        let change = query::value(&call.query, "change")
            .filter(|c| !c.is_empty() && c.len() <= 64)
            .ok_or_else(|| bad("?change=NAME is missing"))?;
        Ok(Step::Ask(Question::Apply(Box::new(NewSettings {
            tree: Arc::new(tree),
            text: text.to_owned(),
            base,
            change: change.to_owned(),
            by: bearer.name,
        }))))
    }
}

fn job_id(text: &str) -> Result<JobId, Box<Answer>> {
    text.parse().map_err(|e: figrill_state::job::BadJobId| {
        Box::new(refusal_answer(Kind::BadRequest, &e.to_string()))
    })
}
