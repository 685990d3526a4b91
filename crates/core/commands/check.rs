//! The `check` command, for the configuration of the users' platform.

use figrill_platform::configuration::check::{
    Checked, Difference, Finding, Severity,
};
use serde_json::json;

use crate::exit::{CommandError, Exit};

use super::read_file;

/// Reads and decodes a configuration.
fn decode(file: &str) -> Result<Checked, CommandError> {
    Checked::decode(read_file(file)?.as_bytes())
        .map_err(|e| CommandError::Usage(format!("{file}: {e}")))
}

/// Checks the configuration in a file, and compares it with the one in the
/// file `against`, if there is one. Returns [`Exit::Usage`] if it should not
/// be written.
///
/// # Errors
///
/// Returns [`CommandError::Usage`] if a file can't be read or decoded.
pub fn run(
    file: &str,
    against: Option<&str>,
    accelerators: Option<u64>,
    json: bool,
) -> Result<Exit, CommandError> {
    let new = decode(file)?;
    let old = against.map(decode).transpose()?;
    let mut findings = new.findings(accelerators);
    findings.extend(old.as_ref().and_then(|old| new.adoption_finding(old)));
    let differences = old.map(|old| new.differences(&old));
    if json {
        print_json(&new, &findings, differences.as_deref());
    } else {
        print_text(file, &new, &findings, differences.as_deref());
    }
    let is_error = |f: &Finding| f.severity == Severity::Error;
    Ok(if findings.iter().any(is_error) {
        Exit::Usage
    } else {
        Exit::Done
    })
}

fn print_json(
    new: &Checked,
    findings: &[Finding],
    differences: Option<&[Difference]>,
) {
    let findings: Vec<_> = findings
        .iter()
        .map(|f| {
            let severity = f.severity.name();
            json!({"severity": severity, "place": f.place, "text": f.text})
        })
        .collect();
    let differences = differences.map(|all| {
        all.iter()
            .map(|d| json!({"place": d.place, "text": d.text}))
            .collect::<Vec<_>>()
    });
    let body = json!({
        "version": new.version(),
        "findings": findings,
        "differences": differences,
    });
    outln!("{body}");
}

fn print_text(
    file: &str,
    new: &Checked,
    findings: &[Finding],
    differences: Option<&[Difference]>,
) {
    for Finding {
        severity,
        place,
        text,
    } in findings
    {
        outln!("{file}: {}: {place}: {text}", severity.name());
    }
    for Difference { place, text } in differences.unwrap_or_default() {
        outln!("{file}: change: {place}: {text}");
    }
    let is_error = |f: &&Finding| f.severity == Severity::Error;
    let errors = findings.iter().filter(is_error).count();
    let warnings = findings.len() - errors;
    let changes = differences
        .map(|all| format!(", {} changes", all.len()))
        .unwrap_or_default();
    outln!(
        "{file}: version {}: {errors} errors, {warnings} warnings{changes}",
        new.version()
    );
}
