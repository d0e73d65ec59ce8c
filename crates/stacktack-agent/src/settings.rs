//! Settings of the agent.

use std::net::SocketAddr;

use stacktack_node::settings::{read_or_exit, Flag};

const FLAGS: &[Flag] = &[
    Flag::required("name", "NAME", "name of the back end in the configuration"),
    Flag::required("zone", "ZONE", "zone of this machine"),
    Flag::required("listen", "IP:PORT", "TCP address for routers"),
    Flag::required("gossip", "IP:PORT", "UDP address for gossip"),
    Flag::required("operator", "IP:PORT", "HTTP address for operators"),
    Flag::required("backend", "IP:PORT", "address of the back end"),
    Flag::required("platform", "IP:PORT", "address of the platform"),
    Flag::with_default(
        "control-bytes",
        "NUMBER",
        "1750",
        "bytes per second of control traffic, sent and received together",
    ),
    Flag::switch("check", "validate the settings and exit"),
];

/// Validated settings of an agent process.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the back end and of its agent.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Address for routers.
    pub listen: SocketAddr,
    /// Address for gossip.
    pub gossip: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Address of the back end.
    pub backend: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Budget of control traffic, in bytes per second.
    pub control_bytes: f64,
    /// Whether the process exits after validating the settings.
    pub check_only: bool,
}

impl AgentSettings {
    /// Reads flags and environment variables; exits with code 2 if a setting is invalid.
    pub fn read() -> Self {
        let summary = "Runs the gate in front of one back end.";
        let mut settings = read_or_exit("stacktack-agent", summary, FLAGS);
        let read = AgentSettings {
            name: settings.text("name"),
            zone: settings.text("zone"),
            listen: settings.address("listen"),
            gossip: settings.address("gossip"),
            operator: settings.address("operator"),
            backend: settings.address("backend"),
            platform: settings.address("platform"),
            control_bytes: settings.number("control-bytes", 200.0..=1e9),
            check_only: settings.switch("check"),
        };
        settings.check_or_exit();
        read
    }
}
