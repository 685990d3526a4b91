//! Builds the programs under measurement and reads the resources that a
//! process uses from `/proc` and from its metrics.

use std::{env, fs, path::PathBuf, process::Command, time::Duration};

/// The paths of the programs, built with the profile of this benchmark.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The figrill program.
    pub figrill: PathBuf,
    /// The program that runs the test doubles.
    pub standin: PathBuf,
}

/// Builds the programs with the profile of this benchmark.
pub fn build_programs() -> Result<Programs, String> {
    let exe = env::current_exe().map_err(|e| e.to_string())?;
    let dir = exe
        .parent()
        .ok_or("the path of the benchmark has no parent directory")?
        .to_owned();
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
        return Err("cargo could not build figrill and standin".to_owned());
    }
    Ok(Programs {
        figrill: dir.join("figrill"),
        standin: dir.join("examples").join("standin"),
    })
}

/// The resources that a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// The processor time used since the process started.
    pub cpu: Duration,
    /// The current resident memory in MiB.
    pub resident_mib: f64,
}

/// The unit of processor times in `/proc/PID/stat`, in ticks per second.
const TICKS_PER_SECOND: u64 = 100;

/// Reads the resource usage of a process, or zeros where it can't be read.
pub fn process_usage(id: u32) -> ProcessUsage {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"));
    let stat = stat.unwrap_or_default();
    // The second field is the program's name in parentheses, which may
    // contain spaces, so that fields are counted from the last parenthesis.
    // From there, 11 and 12 are the user and the system time.
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
    ProcessUsage {
        cpu: Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND),
        resident_mib: kib / 1024.0,
    }
}

/// Returns the number of bytes that a process has sent to its peers, from
/// its own metrics.
pub fn peer_bytes_sent(
    caller: &figrill_standin::caller::Caller,
    http: &str,
) -> f64 {
    let text = caller.get(http, "/metrics").text;
    let line = text.lines().find(|l| l.contains("\"peer_bytes_sent\""));
    line.and_then(|l| l.rsplit(' ').next())
        .and_then(|n| n.parse().ok())
        .unwrap_or(0.0)
}
