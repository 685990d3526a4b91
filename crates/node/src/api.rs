//! What the HTTP of an entry and of an agent have in common.

use std::sync::{Arc, PoisonError, RwLock};

use figrill_state::{
    digest,
    error::Kind,
    record::SettingsRecord,
    settings::{Role, Tree},
};
use figrill_transport::http::{Answer, Call};
use serde::Serialize;

use crate::{metrics::Journal, query};

/// The settings in force, as the thread that reads requests sees them.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// The checked tree.
    pub(crate) tree: Arc<Tree>,
    /// Its record.
    pub(crate) record: SettingsRecord,
    /// Whether the process drains.
    pub(crate) draining: bool,
}

/// A view that another thread replaces.
#[derive(Clone, Default)]
pub(crate) struct SharedView(Arc<RwLock<Arc<View>>>);

impl SharedView {
    pub(crate) fn get(&self) -> Arc<View> {
        let view = self.0.read().unwrap_or_else(PoisonError::into_inner);
        view.clone()
    }

    pub(crate) fn set(&self, view: View) {
        let mut slot = self.0.write().unwrap_or_else(PoisonError::into_inner);
        *slot = Arc::new(view);
    }
}

/// Who sent a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Bearer {
    /// The name of the token.
    pub(crate) name: String,
    /// The only workspace that it may see; all for operators.
    pub(crate) scope: Option<String>,
}

impl Bearer {
    pub(crate) fn is_operator(&self) -> bool {
        self.scope.is_none()
    }
}

/// Finds the token of a request. Until the settings name an operator, the
/// process's bootstrap digest stands for one.
pub(crate) fn bearer(
    token: Option<&str>,
    tree: &Tree,
    bootstrap: &str,
) -> Result<Bearer, Kind> {
    let token = token.ok_or(Kind::Unauthorised)?;
    let tokens = tree.tokens();
    let found = tokens
        .iter()
        .find(|t| digest::token_matches(token, &t.digest));
    if let Some(found) = found {
        return match (found.role, &found.workspace) {
            (Role::Operator, _) => Ok(Bearer {
                name: found.name.clone(),
                scope: None,
            }),
            (Role::Caller, Some(workspace)) => Ok(Bearer {
                name: found.name.clone(),
                scope: Some(workspace.clone()),
            }),
            (Role::Caller, None) => Err(Kind::Forbidden),
        };
    }
    let operators = tokens.iter().any(|t| t.role == Role::Operator);
    let first = !operators && !bootstrap.is_empty();
    if first && digest::token_matches(token, bootstrap) {
        return Ok(Bearer {
            name: "bootstrap".to_owned(),
            scope: None,
        });
    }
    Err(Kind::Unauthorised)
}

/// Requires an operator.
pub(crate) fn operator(
    token: Option<&str>,
    tree: &Tree,
    bootstrap: &str,
) -> Result<Bearer, Kind> {
    let bearer = bearer(token, tree, bootstrap)?;
    if bearer.is_operator() {
        Ok(bearer)
    } else {
        Err(Kind::Forbidden)
    }
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: String,
    reason: Kind,
    #[serde(skip_serializing_if = "str::is_empty")]
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    job: Option<String>,
}

/// A refusal without an outcome, of a request that asks for no job.
pub(crate) fn refusal(kind: Kind, detail: &str) -> Answer {
    error_answer(kind, detail, None, None)
}

/// A refusal of a job that was not run.
pub(crate) fn not_run(
    kind: Kind,
    detail: &str,
    job: Option<String>,
) -> Answer {
    error_answer(kind, detail, Some("not_run"), job)
}

fn error_answer(
    kind: Kind,
    detail: &str,
    outcome: Option<&str>,
    job: Option<String>,
) -> Answer {
    let row = kind.response();
    let error = kind.to_string();
    let body = ErrorBody {
        error,
        reason: kind,
        detail,
        outcome,
        job,
    };
    let mut answer = json(row.status, &body);
    answer.retry_after_s = row.retry_after_s;
    answer
}

/// A JSON answer.
pub(crate) fn json(status: u16, body: &impl Serialize) -> Answer {
    // The bodies here have string keys only, so this cannot fail.
    Answer::json(status, serde_json::to_vec(body).unwrap_or_default())
}

/// Answers what every process answers; gives the call back if it is for
/// the role.
pub(crate) fn common(
    call: Box<Call>,
    view: &View,
    bootstrap: &str,
    journal: &Journal,
) -> Option<Box<Call>> {
    let answer = match call.path.as_str() {
        "/healthz" => health(view),
        "/metrics" | "/v1/events" => {
            let token = call.token.as_deref();
            match operator(token, &view.tree, bootstrap) {
                Err(kind) => refusal(kind, ""),
                Ok(_) if call.path == "/metrics" => Answer {
                    content_type: "text/plain; version=0.0.4",
                    ..Answer::json(200, journal.metrics.text().into_bytes())
                },
                Ok(_) => {
                    let job = query::value(&call.query, "job");
                    json(200, &journal.timeline.events(job))
                }
            }
        }
        _ => return Some(call),
    };
    call.responder.send(answer);
    None
}

#[derive(Serialize)]
struct Health {
    revision: u64,
    draining: bool,
}

/// What a balancer asks: 503 once the process takes no new work.
fn health(view: &View) -> Answer {
    let draining = view.draining;
    let status = if draining { 503 } else { 200 };
    json(
        status,
        &Health {
            revision: view.record.revision,
            draining,
        },
    )
}
