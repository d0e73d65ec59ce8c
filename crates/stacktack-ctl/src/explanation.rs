//! Explanation of one request from the logs of all processes.
//!
//! A log line is `time level target: key=value ...`; the word before the time
//! (such as the name of a machine) is kept as the origin of the line. The
//! explanation holds all lines that name the request. From the same origins it
//! adds the last lines before the request ended about each back end that the
//! lines of the request name, and about the process itself: they show the state
//! on which the router decided.

use std::collections::BTreeMap;
use std::fmt;

/// Targets of lines about the state of one back end, as a process saw it.
const BACK_END_TARGETS: [&str; 2] = ["belief", "directory"];

/// Targets of lines that concern all requests of a process.
const PROCESS_TARGETS: [&str; 3] = ["configuration", "dependency", "router"];

/// One parsed log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Time as written (UTC, to the millisecond).
    pub time: String,
    /// Last word before the time, usually the name of the machine; `-` if there is
    /// none.
    pub origin: String,
    /// Log target: the part of the system that wrote the line.
    pub target: String,
    /// Text after the target, as written.
    pub text: String,
    fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line; `None` if it doesn't have the expected form.
    pub fn parse(line: &str) -> Option<LogLine> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let time_index = words.iter().position(|word| is_timestamp(word))?;
        let target = words.get(time_index + 2)?.strip_suffix(':')?;
        let rest = &words[time_index + 3..];
        let fields = rest
            .iter()
            .filter_map(|word| word.split_once('='))
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect();
        Some(LogLine {
            time: words[time_index].to_owned(),
            origin: words[..time_index]
                .last()
                .copied()
                .unwrap_or("-")
                .to_owned(),
            target: target.to_owned(),
            text: rest.join(" "),
            fields,
        })
    }

    /// Value of a field; empty if the line doesn't have the field.
    pub fn field(&self, key: &str) -> &str {
        self.fields.get(key).map_or("", String::as_str)
    }
}

/// Whether a word is a timestamp such as `2026-02-20T09:19:40.442Z`.
fn is_timestamp(word: &str) -> bool {
    word.len() == 24 && word.ends_with('Z') && word.as_bytes()[10] == b'T'
}

/// Log lines that explain one request, and the cause of its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// Lines about the request and the state before it, ordered by time.
    pub lines: Vec<LogLine>,
    /// Cause of the outcome, in one sentence.
    pub cause: String,
}

/// Collects the lines that explain a request; `None` if no line names it.
pub fn explain_request<'a>(id: &str, lines: impl Iterator<Item = &'a str>) -> Option<Explanation> {
    let parsed: Vec<LogLine> = lines.filter_map(LogLine::parse).collect();
    let request_lines: Vec<&LogLine> = parsed
        .iter()
        .filter(|line| line.field("id") == id)
        .collect();
    let end_time = request_lines.iter().map(|line| line.time.as_str()).max()?;
    let origins: Vec<&str> = request_lines
        .iter()
        .map(|line| line.origin.as_str())
        .collect();
    let back_ends: Vec<&str> = request_lines
        .iter()
        .map(|line| line.field("back_end"))
        .collect();
    let mut last_lines = BTreeMap::new();
    for line in &parsed {
        if line.time.as_str() > end_time || !origins.contains(&line.origin.as_str()) {
            continue;
        }
        let is_about_back_end = BACK_END_TARGETS.contains(&line.target.as_str())
            && back_ends.contains(&line.field("back_end"));
        let is_about_process = PROCESS_TARGETS.contains(&line.target.as_str());
        if is_about_back_end || is_about_process {
            let key = (
                &line.origin,
                &line.target,
                line.field("back_end"),
                line.field("name"),
            );
            last_lines.insert(key, line);
        }
    }
    let mut joined: Vec<LogLine> = last_lines
        .into_values()
        .chain(request_lines.iter().copied())
        .cloned()
        .collect();
    joined.sort_by(|a, b| a.time.cmp(&b.time));
    Some(Explanation {
        cause: cause(&request_lines),
        lines: joined,
    })
}

fn cause(request_lines: &[&LogLine]) -> String {
    let Some(request_line) = request_lines.iter().rfind(|line| line.target == "request") else {
        return "the request has not ended within these logs".to_owned();
    };
    let last_attempt = request_lines.iter().rfind(|line| line.target == "attempt");
    let attempt_text = last_attempt.map_or_else(
        || format!("back end {}", request_line.field("back_ends")),
        |attempt| {
            format!(
                "back end {} ended its attempt as {}",
                attempt.field("back_end"),
                attempt.field("end")
            )
        },
    );
    let is_retry_denied = request_lines
        .iter()
        .any(|line| line.target == "retry" && line.field("allowed") == "false");
    let budget_text = if is_retry_denied {
        "; the retry budget was spent"
    } else {
        ""
    };
    match request_line.field("outcome") {
        "answered" => format!(
            "answered with the back end's status {}: {attempt_text}{budget_text}",
            request_line.field("status")
        ),
        "lost" => format!("it may have run and its answer is lost: {attempt_text}{budget_text}"),
        "broken_off" => format!("the answer broke off midway: {attempt_text}{budget_text}"),
        "time_over" => format!("its time was over while {attempt_text} was awaited"),
        "rejected" => format!("not run: {attempt_text}{budget_text}"),
        "no_back_end" => format!("not run: no back end could take it ({attempt_text})"),
        "busy" => format!("not run: {}", busy_cause(request_lines)),
        "paused" => format!("not run: {}", pause_cause(request_lines)),
        "not_ready" => "not run: the router knew no configuration".to_owned(),
        "stopping" => "not run: the router was about to end and no other served".to_owned(),
        "unknown_key" => format!(
            "configuration {} does not know its key",
            request_line.field("config")
        ),
        "no_route" => format!(
            "configuration {} has no route for it",
            request_line.field("config")
        ),
        "cut_by_stop" => {
            format!("the router was told to stop and ended before the answer ({attempt_text})")
        }
        "caller_left" => format!("the caller left before the answer was whole ({attempt_text})"),
        other => format!("refused by the router: {other}"),
    }
}

/// Why the router refused the request as `paused`.
fn pause_cause(request_lines: &[&LogLine]) -> String {
    let admission_line = request_lines
        .iter()
        .rfind(|line| line.target == "admission");
    admission_line.map_or_else(
        || "all back ends of its pool wanted a pause".to_owned(),
        |line| {
            format!(
                "all back ends of pool {} wanted a pause, the first for {} ms more",
                line.field("pool"),
                line.field("pause_ends_in_ms"),
            )
        },
    )
}

/// Why the router refused the request as `busy`.
fn busy_cause(request_lines: &[&LogLine]) -> String {
    let Some(admission_line) = request_lines
        .iter()
        .rfind(|line| line.target == "admission")
    else {
        return "its pool was full".to_owned();
    };
    let pool = admission_line.field("pool");
    let fill = admission_line.field("pool_fill");
    match admission_line.field("cause") {
        "pool_share" => format!(
            "pool {pool} was full ({fill} of its slots) and the router had used its share of it"
        ),
        "tenant_share" => format!(
            "pool {pool} was full ({fill} of its slots) and its tenant sent clearly more than usual"
        ),
        "back_ends_reject" => format!("back ends of pool {pool} rejected what they were sent"),
        _ => format!(
            "pool {pool} was full: the best back end {} had {} requests of {}",
            admission_line.field("back_end"),
            admission_line.field("load"),
            admission_line.field("limit"),
        ),
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            let LogLine {
                time,
                origin,
                target,
                text,
                ..
            } = line;
            writeln!(formatter, "{time} {origin} {target}: {text}")?;
        }
        write!(formatter, "cause: {}", self.cause)
    }
}
