//! What the tests have in common.

use std::path::PathBuf;

use figrill_standin::site::Plan;

/// The program under test.
pub fn figrill() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_figrill"))
}

/// The stand-ins' program, which is built as an example beside it.
pub fn standin() -> PathBuf {
    let mut path = figrill();
    path.pop();
    path.push("examples");
    path.push("standin");
    path
}

/// One entry, two agents, two workspaces.
pub fn plan() -> Plan {
    Plan::new(figrill(), standin())
}
