//! Cases of the review: `review-standins-2 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod client;
mod descriptors;
mod engine;
mod equal_requests;
mod fleet;
mod http;
mod json;
mod plain;
mod resumed_twice;
mod spoiled_length;
mod store;
mod wrong_verdict;

use std::path::Path;
use std::process::ExitCode;

use fleet::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [role, record, id, address] = arguments.as_slice() {
        if role == "worker" {
            let result = wrong_verdict::serve_as_worker(record, id, address);
            return ExitCode::from(u8::from(result.is_err()));
        }
    }
    let [case, path] = arguments.as_slice() else {
        eprintln!("usage: review-standins-2 CASE RECORD");
        return ExitCode::from(2);
    };
    // A case that panics couldn't run.
    let result = std::panic::catch_unwind(|| {
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let record = Record::create(Path::new(path));
        record.line(&format!("case={case} trouble={trouble}"));
        let held = match case.as_str() {
            "resumed-twice" => resumed_twice::run(record.clone(), trouble),
            "descriptors" => descriptors::run(record.clone(), trouble),
            "wrong-verdict" => wrong_verdict::run(record.clone(), path, trouble),
            "equal-requests" => equal_requests::run(record.clone(), trouble),
            "spoiled-length" => spoiled_length::run(record.clone(), trouble),
            _ => return None,
        };
        record.line(if held {
            "the rule held"
        } else {
            "the rule was broken"
        });
        Some(held)
    });
    match result {
        Ok(Some(true)) => ExitCode::SUCCESS,
        Ok(Some(false)) => ExitCode::from(1),
        Ok(None) | Err(_) => ExitCode::from(2),
    }
}
