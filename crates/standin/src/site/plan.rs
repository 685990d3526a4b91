//! The layout and settings of a site.

use std::path::PathBuf;

use figrill_state::worker::Capacity;

/// The layout and settings of a site.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The path of the program under test.
    pub figrill: PathBuf,
    /// The path of the `standin` program.
    pub standin: PathBuf,
    /// The number of entries.
    pub entries: usize,
    /// The agents, each with an upstream.
    pub agents: Vec<AgentPlan>,
    /// The operators' settings, without the section of the operator token.
    pub settings: String,
    /// The log level of the processes.
    pub log_level: String,
    /// The address of a proxy in front of the store, if there is one.
    pub store_proxy: Option<String>,
}

/// An agent and its upstream.
#[derive(Clone, Debug)]
pub struct AgentPlan {
    /// The failure domain of the agent.
    pub failure_domain: String,
    /// The rack of the agent.
    pub rack: String,
    /// The capacity that the upstream announces.
    pub capacity: Capacity,
    /// The peer address that the agent advertises, if it differs from its own,
    /// such as that of a proxy.
    pub advertise: Option<String>,
}

impl AgentPlan {
    /// Returns the plan of the `i`th worker. Each has 8 accelerators; three
    /// workers share a rack, and racks are spread over three failure domains
    /// in turn.
    #[must_use]
    pub fn nth(i: usize) -> Self {
        let rack = i / 3;
        Self {
            failure_domain: format!("domain-{}", rack % 3),
            rack: format!("rack-{rack}"),
            capacity: Capacity {
                accelerators: 8,
                slots: 8,
                memory_mib: 131_072,
            },
            advertise: None,
        }
    }
}

impl Plan {
    /// Returns a plan with one entry, two agents and two workspaces.
    #[must_use]
    pub fn new(
        figrill: impl Into<PathBuf>,
        standin: impl Into<PathBuf>,
    ) -> Self {
        Self {
            figrill: figrill.into(),
            standin: standin.into(),
            entries: 1,
            agents: (0..2).map(AgentPlan::nth).collect(),
            settings: "[workspace/a]\n[workspace/b]\n".to_owned(),
            log_level: "debug".to_owned(),
            store_proxy: None,
        }
    }

    /// Sets the number of entries.
    #[must_use]
    pub fn entries(mut self, count: usize) -> Self {
        self.entries = count;
        self
    }

    /// Sets the number of agents.
    #[must_use]
    pub fn agents(mut self, count: usize) -> Self {
        self.agents = (0..count).map(AgentPlan::nth).collect();
        self
    }

    /// Sets the operators' settings.
    #[must_use]
    pub fn settings(mut self, text: &str) -> Self {
        text.clone_into(&mut self.settings);
        self
    }
}
