//! Commands of the lab that run and explore scenarios.

use std::path::{Path, PathBuf};
use std::time::Instant;

use super::explore::explore_all;
use super::parse::parse;
use super::run::run;
use crate::emulator::defect::Defect;
use crate::error::LabError;

/// Runs a scenario file, or all `.txt` files of a folder in the order of their
/// names, and prints for each whether its expectations held.
pub fn run_path(path: &str, defect: Option<Defect>) -> Result<(), LabError> {
    let mut failed = 0;
    for file in scenario_files(Path::new(path))? {
        let text = std::fs::read_to_string(&file)?;
        let request_error =
            |error: String| LabError::Request(format!("{}: {error}", file.display()));
        let scenario = parse(&text).map_err(|error| request_error(error.to_string()))?;
        let report = run(&scenario, defect).map_err(|error| request_error(error.to_string()))?;
        let verdict = if report.failures.is_empty() {
            "holds"
        } else {
            "FAILS"
        };
        println!("{verdict} {} {}", file.display(), report.summary);
        for failure in &report.failures {
            println!("      {failure}");
        }
        failed += usize::from(!report.failures.is_empty());
    }
    if failed == 0 {
        return Ok(());
    }
    Err(LabError::ScenariosFailed(failed))
}

fn scenario_files(path: &Path) -> Result<Vec<PathBuf>, LabError> {
    if path.is_file() {
        return Ok(vec![path.to_path_buf()]);
    }
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path)? {
        let file = entry?.path();
        if file.extension().is_some_and(|extension| extension == "txt") {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

/// Runs the random fault schedules of the seeds and prints those that fail.
pub fn explore(seeds: std::ops::Range<u64>, defect: Option<Defect>) -> Result<(), LabError> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from) as u64;
    let begin = Instant::now();
    let count = seeds.end - seeds.start;
    let findings = explore_all(seeds, threads, defect)
        .map_err(|error| LabError::Request(error.to_string()))?;
    for finding in &findings {
        println!("{}# {}\n", finding.text, finding.failures.join("\n# "));
    }
    let seconds = begin.elapsed().as_secs_f64();
    println!(
        "{count} schedules, {} findings, {seconds:.1} s",
        findings.len()
    );
    if findings.is_empty() {
        return Ok(());
    }
    Err(LabError::ScenariosFailed(findings.len()))
}
