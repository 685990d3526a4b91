//! Programs under measurement, and what the system says of a process.

use std::{env, fs, path::PathBuf, process::Command, time::Duration};

/// The program and the stand-ins, built like this bench.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The program.
    pub figrill: PathBuf,
    /// The stand-ins.
    pub standin: PathBuf,
}

/// Builds the programs with the profile of this bench.
pub fn build() -> Result<Programs, String> {
    let exe = env::current_exe().map_err(|e| e.to_string())?;
    let dir = exe.parent().ok_or("no folder")?.to_owned();
    let release = dir.ends_with("release");
    let cargo = env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--bin", "figrill"]);
    command.args(["--example", "standin"]);
    if release {
        command.arg("--release");
    }
    let status = command.status().map_err(|e| e.to_string())?;
    if !status.success() {
        return Err("the programs do not build".to_owned());
    }
    Ok(Programs {
        figrill: dir.join("figrill"),
        standin: dir.join("examples").join("standin"),
    })
}

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Used {
    /// Processor time.
    pub cpu: Duration,
    /// Resident memory in MiB.
    pub resident_mib: f64,
}

/// Clock ticks a second in the system's accounts.
const TICKS: u64 = 100;

/// Asks the system what a process has used.
pub fn used(id: u32) -> Used {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"));
    let stat = stat.unwrap_or_default();
    // The second field is the name in brackets and may hold blanks.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<u64> = fields
        .split_whitespace()
        .map(|f| f.parse().unwrap_or(0))
        .collect();
    let ticks = fields.get(11).zip(fields.get(12)).map_or(0, |(u, s)| u + s);
    let status = fs::read_to_string(format!("/proc/{id}/status"));
    let status = status.unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let kib: f64 = line
        .and_then(|l| l.split_whitespace().nth(1))
        .and_then(|n| n.parse().ok())
        .unwrap_or(0.0);
    Used {
        cpu: Duration::from_millis(ticks * 1000 / TICKS),
        resident_mib: kib / 1024.0,
    }
}

/// Bytes that a process has sent to its peers, by its own count.
pub fn peer_bytes(
    caller: &figrill_standin::caller::Caller,
    http: &str,
) -> f64 {
    let text = caller.get(http, "/metrics").text;
    let line = text.lines().find(|l| l.contains("\"peer_bytes_sent\""));
    line.and_then(|l| l.rsplit(' ').next())
        .and_then(|n| n.parse().ok())
        .unwrap_or(0.0)
}
