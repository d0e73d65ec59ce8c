//! Reads the command line and runs a command.

use std::io::Read;

use stacktack_node::client::PlatformClient;
use stacktack_node::settings::{read_or_exit, Flag, Settings};

use crate::commands::{self, Context};
use crate::explanation::explain_request;
use crate::output::{CommandError, EXIT_DONE};

const FLAGS: &[Flag] = &[
    Flag::required("platform", "IP:PORT", "address of the platform"),
    Flag::with_default("author", "NAME", "operator", "who applies a change"),
    Flag::switch(
        "dry-run",
        "apply: validate and show the difference, change nothing",
    ),
    Flag::switch(
        "wait",
        "apply: wait until every live process has the version",
    ),
    Flag::with_default(
        "wait-ms",
        "MILLISECONDS",
        "8000",
        "apply --wait: longest wait",
    ),
    Flag::switch("json", "print JSON"),
    Flag::switch(
        "verify",
        "explain: run the decisions again on their recorded inputs",
    ),
];

const SUMMARY: &str = "Drives stacktack.

Commands:
  apply FILE          make FILE the configuration
  get                 print the configuration in force
  diff FILE           show what apply FILE would change
  history             list the accepted changes
  status              list every process and its state
  drain NAME          take no new work at a back end's agent
  undrain NAME        take work again
  explain ID          say why a request went where it went
  explain-log ID [FILE...]  the same from logs of all processes; standard input
                      without FILE, no platform needed";

/// Runs the command line; returns its exit code.
pub fn main() -> i32 {
    let mut settings = read_or_exit("stacktack-ctl", SUMMARY, FLAGS);
    let arguments = std::mem::take(&mut settings.positional_arguments);
    if let [command, id, files @ ..] = arguments.as_slice() {
        if command == "explain-log" {
            return finish(explain_log(id, files));
        }
    }
    let result = actix_rt::System::new().block_on(async move {
        let context = read_context(&mut settings);
        settings.check_or_exit();
        run(&context, &arguments).await
    });
    finish(result)
}

fn finish(result: Result<(), CommandError>) -> i32 {
    match result {
        Ok(()) => EXIT_DONE,
        Err(error) => {
            eprintln!("{error}");
            error.exit_code()
        }
    }
}

/// Prints the explanation of a request from log files, or from standard input.
fn explain_log(id: &str, files: &[String]) -> Result<(), CommandError> {
    let mut text = String::new();
    if files.is_empty() {
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|source| CommandError::File {
            path: "standard input".to_owned(),
            source,
        })?;
    }
    for path in files {
        let bytes = std::fs::read(path).map_err(|source| CommandError::File {
            path: path.clone(),
            source,
        })?;
        text.push_str(&String::from_utf8_lossy(&bytes));
    }
    let explanation =
        explain_request(id, text.lines()).ok_or_else(|| CommandError::NotLogged(id.to_owned()))?;
    println!("{explanation}");
    Ok(())
}

fn read_context(settings: &mut Settings) -> Context {
    Context {
        platform: PlatformClient::new(settings.address("platform")),
        author: settings.text("author"),
        dry_run: settings.switch("dry-run"),
        wait: settings.switch("wait"),
        wait_timeout: settings.milliseconds("wait-ms", 1..=600_000),
        json: settings.switch("json"),
        verify: settings.switch("verify"),
    }
}

async fn run(context: &Context, arguments: &[String]) -> Result<(), CommandError> {
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["apply", file] => commands::apply(context, file).await,
        ["get"] => commands::get(context).await,
        ["diff", file] => commands::diff(context, file).await,
        ["history"] => commands::history(context).await,
        ["status"] => commands::status(context).await,
        ["drain", name] => commands::set_drain(context, name, true).await,
        ["undrain", name] => commands::set_drain(context, name, false).await,
        ["explain", id] => commands::explain(context, id).await,
        [] => Err(CommandError::Usage(String::from("no command"))),
        other => Err(CommandError::Usage(format!(
            "{} is no command",
            other.join(" ")
        ))),
    }
}
