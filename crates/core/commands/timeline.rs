//! The `timeline` command: merges the events of all processes.

use std::{collections::BTreeSet, fmt::Write, fs, time::Duration};

use figrill_state::event::Event;
use serde::Deserialize;

use crate::{
    args::{Format, Remote},
    client::Client,
    exit::{CommandError, Exit},
};

/// An element of the entry's list of processes.
#[derive(Deserialize)]
struct Process {
    name: String,
    http: String,
}

/// Merges the events of all processes that the entry knows and prints them or
/// writes them to the file `out`. A process whose events can't be read is
/// reported on the standard error stream.
///
/// # Errors
///
/// Returns any [`CommandError`].
pub fn run(
    job: Option<&str>,
    format: Format,
    out: Option<&str>,
    remote: &Remote,
) -> Result<Exit, CommandError> {
    let client = Client::new(remote);
    let processes: Vec<Process> = client.get("/v1/processes")?;
    let mut events: Vec<Event> = Vec::new();
    let mut missing = Vec::new();
    for process in &processes {
        let query = job.map_or(String::new(), |j| format!("?job={j}"));
        let url = format!("http://{}/v1/events{query}", process.http);
        let result = client
            .call("GET", &url, None, Duration::ZERO)
            .and_then(|answer| answer.json::<Vec<Event>>());
        match result {
            Ok(found) => events.extend(found),
            Err(e) => missing.push(format!("{}: {e}", process.name)),
        }
    }
    for line in &missing {
        eprintln!("figrill: the timeline lacks events of {line}");
    }
    events.sort_by(|a, b| (a.at, &a.process).cmp(&(b.at, &b.process)));
    let text = match format {
        Format::Text => render_text(&events),
        Format::Json => serde_json::to_string(&events).unwrap_or_default(),
        Format::Html => render_html(&events),
    };
    if let Some(path) = out {
        fs::write(path, text)
            .map_err(|e| CommandError::Usage(format!("{path}: {e}")))?;
    } else {
        outln!("{}", text.trim_end());
    }
    Ok(Exit::Done)
}

/// Renders one line per event.
pub(super) fn render_text(events: &[Event]) -> String {
    let mut out = String::new();
    for event in events {
        let job = event.job.get(..8).unwrap_or("-");
        let _ = writeln!(
            out,
            "{}.{:03} {:>3} {:<12} E{} {:<18} {job:<8} {}",
            event.at.ms / 1000,
            event.at.ms % 1000,
            event.at.count,
            event.process,
            event.number,
            event.name,
            event.detail
        );
    }
    out
}

/// Escapes text for use in HTML.
fn escape_html(text: &str) -> String {
    let text = text.replace('&', "&amp;").replace('<', "&lt;");
    text.replace('>', "&gt;").replace('"', "&quot;")
}

/// Renders a self-contained HTML page with one column per process.
fn render_html(events: &[Event]) -> String {
    let names: BTreeSet<&str> =
        events.iter().map(|e| e.process.as_str()).collect();
    let names: Vec<&str> = names.into_iter().collect();
    let mut out = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">\
         <title>figrill timeline</title><style>\
         body{font:13px sans-serif;margin:1em}\
         table{border-collapse:collapse}\
         th{position:sticky;top:0;background:#eee;text-align:left}\
         td,th{border:1px solid #ccc;padding:2px 6px;vertical-align:top}\
         tr:nth-child(even){background:#f8f8f8}\
         .warn{background:#fde8c8}small{color:#666}\
         </style><h1>figrill timeline</h1>",
    );
    let _ = write!(
        out,
        "<p>{} events</p><table><tr><th>time</th>",
        events.len()
    );
    for name in &names {
        let _ = write!(out, "<th>{}</th>", escape_html(name));
    }
    out.push_str("</tr>\n");
    for event in events {
        let _ = write!(
            out,
            "<tr><td>{}.{:03}</td>",
            event.at.ms / 1000,
            event.at.ms % 1000
        );
        for name in &names {
            if *name == event.process {
                let job = event.job.get(..8).unwrap_or_default();
                let _ = write!(
                    out,
                    "<td title=\"E{}\"><b>{}</b> {job}<br><small>{}</small>\
                     </td>",
                    event.number,
                    escape_html(&event.name),
                    escape_html(&event.detail)
                );
            } else {
                out.push_str("<td></td>");
            }
        }
        out.push_str("</tr>\n");
    }
    out.push_str("</table></html>\n");
    out
}
