//! Settings of the router.

use std::net::SocketAddr;
use std::time::Duration;

use stacktack_core::placement::Policy;
use stacktack_node::settings::{read_or_exit, Flag};

const FLAGS: &[Flag] = &[
    Flag::required("name", "NAME", "unique name of this router"),
    Flag::required("zone", "ZONE", "zone of this machine"),
    Flag::required("listen", "IP:PORT", "address for callers, HTTP"),
    Flag::required("gossip", "IP:PORT", "address for gossip, UDP"),
    Flag::required("operator", "IP:PORT", "address for operators, HTTP"),
    Flag::required("platform", "IP:PORT", "address of the platform"),
    Flag::with_default("threads", "NUMBER", "1", "traffic threads"),
    Flag::with_default(
        "policy",
        "NAME",
        "bounded",
        "rule of choice: bounded, rendezvous, two-choices, least-loaded",
    ),
    Flag::with_default(
        "body-timeout-ms",
        "MILLISECONDS",
        "10000",
        "time for a caller's body to come",
    ),
    Flag::with_default(
        "control-bytes",
        "NUMBER",
        "1750",
        "bytes a second of control traffic, both ways",
    ),
    Flag::switch("check", "validate the settings and exit"),
];

/// Rules of choice by name.
pub const POLICIES: &[(&str, Policy)] = &[
    ("bounded", Policy::Bounded),
    ("rendezvous", Policy::Rendezvous),
    ("two-choices", Policy::TwoChoices),
    ("least-loaded", Policy::LeastLoaded),
];

/// What the router is told at start.
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
    /// Traffic threads.
    pub threads: usize,
    /// Rule of choice.
    pub policy: Policy,
    /// Time for a caller's body to come.
    pub body_timeout: Duration,
    /// Bytes a second of control traffic.
    pub control_bytes: f64,
    /// Whether to stop after validation.
    pub check_only: bool,
}

impl RouterSettings {
    /// Reads the settings; exits when they are bad.
    pub fn read() -> Self {
        let summary = "Takes callers' requests and routes them to back ends.";
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
