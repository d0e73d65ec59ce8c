//! The account of one request, from the logs of all processes.
//!
//! A log line is `time level part: key=value ...`; whatever stands before the
//! time (a machine's name, say) is kept as its origin. Lines that name the
//! request make the account; of the lines about the back ends that it met, the
//! last of each kind before the end is added, since it tells what was believed.

use std::collections::BTreeMap;
use std::fmt;

/// Parts whose lines tell what a process believed.
const BELIEF_PARTS: [&str; 2] = ["belief", "directory"];

/// Parts whose lines concern all requests of a process.
const PROCESS_PARTS: [&str; 3] = ["configuration", "dependency", "router"];

/// One parsed line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Time as written (UTC, to the millisecond).
    pub time: String,
    /// What stood before the time; the machine's name comes last.
    pub origin: String,
    /// The part that wrote it.
    pub target: String,
    /// Its fields as written.
    pub text: String,
    fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line; `None` if it has not the form.
    pub fn parse(line: &str) -> Option<LogLine> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let at = words.iter().position(|word| is_time(word))?;
        let part = words.get(at + 2)?.strip_suffix(':')?;
        let rest = &words[at + 3..];
        let fields = rest
            .iter()
            .filter_map(|word| word.split_once('='))
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect();
        Some(LogLine {
            time: words[at].to_owned(),
            origin: words[..at].last().copied().unwrap_or("-").to_owned(),
            target: part.to_owned(),
            text: rest.join(" "),
            fields,
        })
    }

    /// A field's value, or an empty text.
    pub fn field(&self, key: &str) -> &str {
        self.fields.get(key).map_or("", String::as_str)
    }
}

/// `2026-02-20T09:19:40.442Z`.
fn is_time(word: &str) -> bool {
    word.len() == 24 && word.ends_with('Z') && word.as_bytes()[10] == b'T'
}

/// What the logs tell of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// What was believed before, and what happened, in the order of time.
    pub lines: Vec<LogLine>,
    /// The cause in a sentence.
    pub cause: String,
}

/// Joins the lines about a request; `None` when no line names it.
pub fn explain_request<'a>(id: &str, lines: impl Iterator<Item = &'a str>) -> Option<Explanation> {
    let parsed: Vec<LogLine> = lines.filter_map(LogLine::parse).collect();
    let own: Vec<&LogLine> = parsed
        .iter()
        .filter(|line| line.field("id") == id)
        .collect();
    let end = own.iter().map(|line| line.time.as_str()).max()?;
    let origins: Vec<&str> = own.iter().map(|line| line.origin.as_str()).collect();
    let back_ends: Vec<&str> = own.iter().map(|line| line.field("back_end")).collect();
    let mut last = BTreeMap::new();
    for line in &parsed {
        if line.time.as_str() > end || !origins.contains(&line.origin.as_str()) {
            continue;
        }
        let belief = BELIEF_PARTS.contains(&line.target.as_str())
            && back_ends.contains(&line.field("back_end"));
        let process = PROCESS_PARTS.contains(&line.target.as_str());
        if belief || process {
            let key = (
                &line.origin,
                &line.target,
                line.field("back_end"),
                line.field("name"),
            );
            last.insert(key, line);
        }
    }
    let mut joined: Vec<LogLine> = last
        .into_values()
        .chain(own.iter().copied())
        .cloned()
        .collect();
    joined.sort_by(|a, b| a.time.cmp(&b.time));
    Some(Explanation {
        cause: cause(&own),
        lines: joined,
    })
}

fn cause(own: &[&LogLine]) -> String {
    let Some(end) = own.iter().rfind(|line| line.target == "request") else {
        return "the request has not ended within these logs".to_owned();
    };
    let attempt = own.iter().rfind(|line| line.target == "attempt");
    let met = attempt.map_or_else(
        || format!("back end {}", end.field("back_ends")),
        |attempt| {
            format!(
                "back end {} ended its attempt as {}",
                attempt.field("back_end"),
                attempt.field("end")
            )
        },
    );
    let denied = own
        .iter()
        .any(|line| line.target == "retry" && line.field("allowed") == "false");
    let budget = if denied {
        "; the retry budget was spent"
    } else {
        ""
    };
    match end.field("outcome") {
        "answered" => format!(
            "answered with the back end's status {}: {met}{budget}",
            end.field("status")
        ),
        "lost" => format!("it may have run and its answer is lost: {met}{budget}"),
        "broken_off" => format!("the answer broke off midway: {met}{budget}"),
        "time_over" => format!("its time was over while {met} was awaited"),
        "rejected" => format!("not run: {met}{budget}"),
        "no_back_end" => format!("not run: no back end could take it ({met})"),
        "busy" => format!("not run: {}", no_room(own)),
        "not_ready" => "not run: the router knew no configuration".to_owned(),
        "stopping" => "not run: the router was about to end and no other served".to_owned(),
        "unknown_key" => format!(
            "configuration {} does not know its key",
            end.field("config")
        ),
        "no_route" => format!("configuration {} has no route for it", end.field("config")),
        "cut_by_stop" => format!("the router was told to stop and ended before the answer ({met})"),
        "caller_left" => format!("the caller left before the answer was whole ({met})"),
        other => format!("refused by the router: {other}"),
    }
}

/// What the router knew of its pool's room when it refused.
fn no_room(own: &[&LogLine]) -> String {
    let Some(refused) = own.iter().rfind(|line| line.target == "admission") else {
        return "its pool was full".to_owned();
    };
    let pool = refused.field("pool");
    let fill = refused.field("pool_fill");
    let again = if refused.field("returned") == "true" {
        "; its caller came back after a refusal, and new ones go first"
    } else {
        ""
    };
    let why = match refused.field("cause") {
        "pool_share" => format!(
            "pool {pool} was full ({fill} of its slots) and the router had used its share of it"
        ),
        "tenant_share" => format!(
            "pool {pool} was full ({fill} of its slots) and its tenant sent clearly more than usual"
        ),
        "back_ends_reject" => format!("back ends of pool {pool} rejected what they were sent"),
        _ => format!(
            "pool {pool} was full: the best back end {} had {} requests of {}",
            refused.field("back_end"),
            refused.field("load"),
            refused.field("limit"),
        ),
    };
    format!("{why}{again}")
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
