//! Settings of `stacktack-router`: invalid settings are reported together, with exit code 2.

use std::process::{Command, Output};

fn run(arguments: &[&str], variables: &[(&str, &str)]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_stacktack-router"))
        .args(arguments)
        .envs(variables.iter().copied())
        .output()
        .expect("the program runs")
}

fn errors(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn help_and_version_exit_cleanly() {
    assert!(run(&["--help"], &[]).status.success());
    let version = run(&["--version"], &[]);
    assert!(String::from_utf8_lossy(&version.stdout).starts_with("stacktack-router "));
}

#[test]
fn an_unknown_flag_is_refused() {
    let output = run(&["--no-such-flag"], &[]);
    assert_eq!(output.status.code(), Some(2));
    assert!(errors(&output).contains("no-such-flag"));
}

const ARGUMENTS_WITHOUT_ZONE: &[&str] = &[
    "--name",
    "router-1",
    "--listen",
    "127.0.0.1:0",
    "--gossip",
    "127.0.0.1:0",
    "--operator",
    "127.0.0.1:0",
    "--platform",
    "127.0.0.1:1",
    "--check",
];

#[test]
fn all_invalid_settings_are_reported_together() {
    let output = run(&["--name", "r", "--listen", "here", "--threads", "0"], &[]);
    assert_eq!(output.status.code(), Some(2));
    let text = errors(&output);
    for line in [
        "--zone: nothing is not allowed; allowed is a non-empty text",
        "--listen: here is not allowed; allowed is an IP address and port",
        "--threads: 0 is not allowed; allowed is a number from 1 to 256",
        "--platform: nothing is not allowed",
    ] {
        assert!(text.contains(line), "{line} is missing in {text}");
    }
}

#[test]
fn flags_can_be_set_by_environment_variables() {
    let without_zone = run(ARGUMENTS_WITHOUT_ZONE, &[]);
    assert_eq!(without_zone.status.code(), Some(2));
    let with_zone = run(ARGUMENTS_WITHOUT_ZONE, &[("STACKTACK_ZONE", "zone-1")]);
    assert!(with_zone.status.success(), "{}", errors(&with_zone));
}

#[test]
fn a_port_in_use_is_named() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = taken.local_addr().expect("has an address").to_string();
    let mut arguments: Vec<&str> =
        ARGUMENTS_WITHOUT_ZONE[..ARGUMENTS_WITHOUT_ZONE.len() - 1].to_vec();
    arguments[3] = &address;
    let output = run(&arguments, &[("STACKTACK_ZONE", "zone-1")]);
    assert_eq!(output.status.code(), Some(1));
    let text = errors(&output);
    assert!(
        text.contains("--listen") && text.contains(&address),
        "{text}"
    );
}
