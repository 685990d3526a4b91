//! The code of the HTTP API that entries and agents share: authentication,
//! error answers, and the paths that both of them serve.

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

/// The settings in force, as the `api` thread sees them.
#[derive(Debug, Default)]
pub(crate) struct SettingsView {
    /// The parsed and validated settings.
    pub(crate) tree: Arc<Tree>,
    /// The record that the settings were parsed from.
    pub(crate) record: SettingsRecord,
    /// Whether the process has learnt which settings are in force, which may
    /// also be none.
    pub(crate) known: bool,
    /// Whether the process is draining.
    pub(crate) draining: bool,
}

/// The current [`SettingsView`]. The event loop replaces it, and the `api`
/// thread reads it.
#[derive(Clone, Default)]
pub(crate) struct SharedSettingsView(Arc<RwLock<Arc<SettingsView>>>);

impl SharedSettingsView {
    pub(crate) fn get(&self) -> Arc<SettingsView> {
        let view = self.0.read().unwrap_or_else(PoisonError::into_inner);
        view.clone()
    }

    pub(crate) fn set(&self, view: SettingsView) {
        let mut slot = self.0.write().unwrap_or_else(PoisonError::into_inner);
        *slot = Arc::new(view);
    }
}

/// The authenticated sender of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Principal {
    /// The name of the token.
    pub(crate) name: String,
    /// The only workspace that the sender may access; `None` for an operator,
    /// who may access all of them.
    pub(crate) scope: Option<String>,
}

impl Principal {
    pub(crate) fn is_operator(&self) -> bool {
        self.scope.is_none()
    }
}

/// Returns the sender that the token of a request belongs to. Until the
/// settings contain an operator's token, a token that matches the process's
/// bootstrap digest is accepted as one.
///
/// # Errors
///
/// Returns [`Kind::Unauthorised`] if the token is missing or unknown, and
/// [`Kind::Forbidden`] if it is a caller's token without a workspace.
pub(crate) fn authenticate(
    token: Option<&str>,
    tree: &Tree,
    bootstrap: &str,
) -> Result<Principal, Kind> {
    let token = token.ok_or(Kind::Unauthorised)?;
    let tokens = tree.tokens();
    let token_settings = tokens
        .iter()
        .find(|t| digest::token_matches(token, &t.digest));
    if let Some(token_settings) = token_settings {
        return match (token_settings.role, &token_settings.workspace) {
            (Role::Operator, _) => Ok(Principal {
                name: token_settings.name.clone(),
                scope: None,
            }),
            (Role::Caller, Some(workspace)) => Ok(Principal {
                name: token_settings.name.clone(),
                scope: Some(workspace.clone()),
            }),
            (Role::Caller, None) => Err(Kind::Forbidden),
        };
    }
    let has_operator = tokens.iter().any(|t| t.role == Role::Operator);
    let accepts_bootstrap = !has_operator && !bootstrap.is_empty();
    if accepts_bootstrap && digest::token_matches(token, bootstrap) {
        return Ok(Principal {
            name: "bootstrap".to_owned(),
            scope: None,
        });
    }
    Err(Kind::Unauthorised)
}

/// Like [`authenticate`], but also fails with [`Kind::Forbidden`] if the
/// token is not an operator's.
pub(crate) fn authenticate_operator(
    token: Option<&str>,
    tree: &Tree,
    bootstrap: &str,
) -> Result<Principal, Kind> {
    let principal = authenticate(token, tree, bootstrap)?;
    if principal.is_operator() {
        Ok(principal)
    } else {
        Err(Kind::Forbidden)
    }
}

/// The JSON body of an error answer.
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

/// Returns an error answer without an outcome, for a request that does not
/// submit a job.
pub(crate) fn refusal_answer(kind: Kind, detail: &str) -> Answer {
    error_answer(kind, detail, None, None)
}

/// Returns an error answer for a job that was not run.
pub(crate) fn not_run_answer(
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
    let response = kind.response();
    let error = kind.to_string();
    let body = ErrorBody {
        error,
        reason: kind,
        detail,
        outcome,
        job,
    };
    let mut answer = json(response.status, &body);
    answer.retry_after_s = response.retry_after_s;
    answer
}

/// Returns an answer with a JSON body.
pub(crate) fn json(status: u16, body: &impl Serialize) -> Answer {
    // Serialisation cannot fail because all bodies have only string keys.
    Answer::json(status, serde_json::to_vec(body).unwrap_or_default())
}

/// Answers a call to a path that both entries and agents serve. Returns the
/// call unanswered if its path is specific to the role of the process.
pub(crate) fn handle_common(
    call: Box<Call>,
    view: &SettingsView,
    bootstrap: &str,
    journal: &Journal,
) -> Option<Box<Call>> {
    let answer = match call.path.as_str() {
        "/healthz" => health(view),
        "/metrics" | "/v1/events" => {
            let token = call.token.as_deref();
            match authenticate_operator(token, &view.tree, bootstrap) {
                Err(kind) => refusal_answer(kind, ""),
                Ok(_) if call.path == "/metrics" => Answer {
                    content_type: "text/plain; version=0.0.4",
                    ..Answer::json(200, journal.metrics.encode().into_bytes())
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

/// Answers a load balancer's health check: 503 once the process is draining
/// and accepts no new work.
fn health(view: &SettingsView) -> Answer {
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
