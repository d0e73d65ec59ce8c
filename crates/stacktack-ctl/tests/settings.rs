//! Command line of `stacktack-ctl`: help, version, and exit code 2 for an unknown flag.

use std::process::{Command, Output};

fn run(arguments: &[&str], variables: &[(&str, &str)]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_stacktack-ctl"))
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
    assert!(String::from_utf8_lossy(&version.stdout).starts_with("stacktack-ctl "));
}

#[test]
fn an_unknown_flag_is_refused() {
    let output = run(&["--no-such-flag"], &[]);
    assert_eq!(output.status.code(), Some(2));
    assert!(errors(&output).contains("no-such-flag"));
}
