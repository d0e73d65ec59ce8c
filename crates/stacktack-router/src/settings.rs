//! Settings of the router.

use std::net::SocketAddr;
use std::time::Duration;

use stacktack_core::placement::Policy;
use stacktack_node::settings::{read_or_exit, Flag};

const FLAGS: &[Flag] = &[
    Flag::required("name", "NAME", "unique name of this router"),
    Flag::required("zone", "ZONE", "zone of this machine"),
    Flag::required("listen", "IP:PORT", "HTTP address for callers"),
    Flag::required("gossip", "IP:PORT", "UDP address for gossip"),
    Flag::required("operator", "IP:PORT", "HTTP address for operators"),
    Flag::required("platform", "IP:PORT", "address of the platform"),
    Flag::with_default("threads", "NUMBER", "1", "traffic threads"),
    Flag::with_default(
        "policy",
        "NAME",
        "bounded",
        "placement policy: bounded, rendezvous, two-choices, least-loaded",
    ),
    Flag::with_default(
        "body-timeout-ms",
        "MILLISECONDS",
        "10000",
        "time within which a request body must arrive",
    ),
    Flag::with_default(
        "control-bytes",
        "NUMBER",
        "1750",
        "bytes per second of control traffic, sent and received together",
    ),
    Flag::switch("check", "validate the settings and exit"),
];

/// Placement policies by name.
pub const POLICIES: &[(&str, Policy)] = &[
    ("bounded", Policy::Bounded),
    ("rendezvous", Policy::Rendezvous),
    ("two-choices", Policy::TwoChoices),
    ("least-loaded", Policy::LeastLoaded),
];

/// Validated settings of a router process.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Name of the router.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for gossip.
    pub gossip: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Number of traffic threads.
    pub threads: usize,
    /// Placement policy, by which back ends are chosen.
    pub policy: Policy,
    /// Time within which a request body must arrive.
    pub body_timeout: Duration,
    /// Budget of control traffic, in bytes per second.
    pub control_bytes: f64,
    /// Whether the process exits after validating the settings.
    pub check_only: bool,
}

impl RouterSettings {
    /// Reads flags and environment variables; exits with code 2 if a setting is invalid.
    pub fn read() -> Self {
        let summary = "Accepts callers' requests and routes them to back ends.";
        let mut settings = read_or_exit("stacktack-router", summary, FLAGS);
        let read = RouterSettings {
            name: settings.text("name"),
            zone: settings.text("zone"),
            listen: settings.address("listen"),
            gossip: settings.address("gossip"),
            operator: settings.address("operator"),
            platform: settings.address("platform"),
            threads: settings.number("threads", 1..=256),
            policy: settings.choice("policy", POLICIES),
            body_timeout: settings.milliseconds("body-timeout-ms", 10..=600_000),
            control_bytes: settings.number("control-bytes", 200.0..=1e9),
            check_only: settings.switch("check"),
        };
        settings.check_or_exit();
        read
    }
}
