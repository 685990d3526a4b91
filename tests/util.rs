//! Helpers shared by the integration tests.

use std::path::PathBuf;

use figrill_standin::site::Plan;

/// Returns the path of the program under test.
pub fn figrill() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_figrill"))
}

/// Returns the path of the `standin` program, which runs the test doubles. It
/// is an example that cargo builds next to the program under test.
pub fn standin() -> PathBuf {
    let mut path = figrill();
    path.pop();
    path.push("examples");
    path.push("standin");
    path
}

/// Returns the default plan of a site: one entry, two agents and two
/// workspaces.
pub fn plan() -> Plan {
    Plan::new(figrill(), standin())
}
