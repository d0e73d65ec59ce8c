//! Every scenario succeeds, and fails without each protection that it names.

use std::path::Path;

use stacktack_core::protection::Protections;
use stacktack_lab::scenario::parse::parse;
use stacktack_lab::scenario::run::run;

fn scenario(path: &Path) -> datatest_stable::Result<()> {
    let scenario = parse(&std::fs::read_to_string(path)?)?;
    let report = run(&scenario, Protections::default())?;
    if !report.failures.is_empty() {
        let failures = report.failures.join("\n");
        return Err(format!("{failures}\n{}", report.summary).into());
    }
    for protection in &scenario.breaks {
        let unprotected = run(&scenario, Protections::without(*protection))?;
        if unprotected.failures.is_empty() {
            return Err(format!("succeeds without {protection}: {}", unprotected.summary).into());
        }
    }
    Ok(())
}

datatest_stable::harness! {
    { test = scenario, root = "../../scenarios", pattern = r"\.txt$" },
}
