//! Processor time and memory of a process, from `/proc`.

use std::time::Duration;

use crate::error::LabError;

/// Clock ticks per second in `/proc/{id}/stat` on Linux.
const TICKS_PER_SECOND: u64 = 100;

/// Index of the user time among the fields after the program's name in `/proc/{id}/stat`; the
/// system time follows it.
const USER_TIME_FIELD: usize = 11;

/// Processor time that a process has used since its start, in user and system mode.
pub fn processor_time(id: u32) -> Result<Duration, LabError> {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let after_name = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks: u64 = after_name
        .split_whitespace()
        .skip(USER_TIME_FIELD)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    Ok(Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND))
}

/// Resident memory of a process in megabytes.
pub fn resident_megabytes(id: u32) -> Result<f64, LabError> {
    let text = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes: f64 = line
        .and_then(|line| line.split_whitespace().next())
        .and_then(|number| number.parse().ok())
        .unwrap_or(0.0);
    Ok(kilobytes / 1_024.0)
}
