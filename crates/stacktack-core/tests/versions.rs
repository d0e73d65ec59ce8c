//! A process never returns to an older configuration version.

use std::net::SocketAddr;

use stacktack_core::configuration::document::Document;
use stacktack_core::configuration::Configuration;
use stacktack_core::control::{Control, ControlInput};
use stacktack_core::protection::{Protection, Protections};
use stacktack_core::time::Time;
use stacktack_wire::gossip::{MemberInformation, MemberRole};
use stacktack_wire::identity::{ConfigurationVersion, Incarnation};

fn version_after(protections: Protections, versions: &[u64]) -> ConfigurationVersion {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let own = MemberInformation {
        name: String::from("router-1"),
        incarnation: Incarnation(1),
        role: MemberRole::Router,
        zone: String::from("a"),
        address,
        gossip: address,
        operator: address,
    };
    let mut control = Control::new(own, 1_000.0, protections, 1, Time(0));
    let mut outputs = Vec::new();
    for version in versions {
        let snapshot = Configuration::new(ConfigurationVersion(*version), Document::default());
        control.handle(
            Time(1),
            ControlInput::Snapshot(Box::new(snapshot)),
            &mut outputs,
        );
    }
    control.configuration().version
}

#[test]
fn a_snapshot_that_comes_late_changes_nothing() {
    let late = [3, 5, 4, 1];
    assert_eq!(
        version_after(Protections::default(), &late),
        ConfigurationVersion(5)
    );
}

#[test]
fn without_the_protection_a_late_snapshot_would_win() {
    let unprotected = Protections::without(Protection::VersionRise);
    assert_eq!(
        version_after(unprotected, &[3, 5, 4, 1]),
        ConfigurationVersion(1)
    );
}
