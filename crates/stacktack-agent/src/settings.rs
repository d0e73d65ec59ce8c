//! Settings of the agent.

use std::net::SocketAddr;

use stacktack_node::settings::{read_or_exit, Flag};

const FLAGS: &[Flag] = &[
    Flag::required("name", "NAME", "name of the back end in the configuration"),
    Flag::required("zone", "ZONE", "zone of this machine"),
    Flag::required("listen", "IP:PORT", "address for routers, TCP"),
    Flag::required("gossip", "IP:PORT", "address for gossip, UDP"),
    Flag::required("operator", "IP:PORT", "address for operators, HTTP"),
    Flag::required("backend", "IP:PORT", "address of the back end"),
    Flag::required("platform", "IP:PORT", "address of the platform"),
    Flag::with_default(
        "control-bytes",
        "NUMBER",
        "1750",
        "bytes a second of control traffic, both ways",
    ),
    Flag::switch("check", "validate the settings and exit"),
];

/// What the agent is told at start.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the back end and its agent.
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
    /// Bytes a second of control traffic.
    pub control_bytes: f64,
    /// Whether to stop after validation.
    pub check_only: bool,
}

impl AgentSettings {
    /// Reads the settings; exits when they are bad.
    pub fn read() -> Self {
        let summary = "The single gate in front of one back end.";
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
