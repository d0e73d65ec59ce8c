//! Reads the command line and runs a command.

use stacktack_node::logging;
use stacktack_node::settings::{read_or_exit, Flag, Settings, EXIT_FAILURE, EXIT_INVALID_SETTINGS};

use crate::capacity;
use crate::demo;
use crate::emulator::defect::Defect;
use crate::error::LabError;
use crate::load::{self, LoadPlan};
use crate::scenario::command;

const FLAGS: &[Flag] = &[
    Flag::switch("keep", "demo: leave the fleet up and print its addresses"),
    Flag::with_default("rate", "NUMBER", "200", "load: requests per second"),
    Flag::with_default(
        "seconds",
        "NUMBER",
        "10",
        "load, capacity: length of each phase",
    ),
    Flag::with_default(
        "streams",
        "NUMBER",
        "500",
        "load: number of streams open in the throughput phase",
    ),
    Flag::with_default(
        "break",
        "DEFECT",
        "",
        "scenario, explore: the protection to disable, or another defect",
    ),
    Flag::with_default("seeds", "NUMBER", "200", "explore: number of schedules"),
    Flag::with_default(
        "first-seed",
        "NUMBER",
        "0",
        "explore: seed of the first schedule",
    ),
    Flag::with_default(
        "sizes",
        "LIST",
        "24,150,600,1330",
        "capacity: numbers of processes",
    ),
    Flag::with_default(
        "tenants",
        "NUMBER",
        "200",
        "capacity: number of configured tenants",
    ),
];

const SUMMARY: &str = "Runs fleets of stacktack to test and measure them.

Commands:
  demo            start a small fleet of processes, send chats through it, print a table
  load            measure what router and agent add to the same load sent directly to engines
  scenario PATH   run a scenario file, or all in a directory, on virtual time
  explore         run random fault schedules, print those that fail
  capacity        measure control traffic, processor time and memory at several sizes";

/// Runs the lab; returns its exit code.
pub fn main() -> i32 {
    let mut settings = read_or_exit("stacktack-lab", SUMMARY, FLAGS);
    let arguments = std::mem::take(&mut settings.positional_arguments);
    let options = Options::read(&mut settings);
    settings.check_or_exit();
    logging::start();
    let result = actix_rt::System::new().block_on(run(options, arguments));
    match result {
        Ok(()) => 0,
        Err(error) => {
            eprintln!("{error}");
            match error {
                LabError::Usage(_) => EXIT_INVALID_SETTINGS,
                _ => EXIT_FAILURE,
            }
        }
    }
}

/// Values of all flags.
struct Options {
    keep: bool,
    load: LoadPlan,
    defect: Option<Defect>,
    seeds: u64,
    first_seed: u64,
    sizes: Vec<usize>,
    tenants: usize,
}

impl Options {
    fn read(settings: &mut Settings) -> Self {
        let names: Vec<(String, Option<Defect>)> = Defect::all()
            .into_iter()
            .map(|defect| (defect.to_string(), Some(defect)))
            .collect();
        let mut choices: Vec<(&str, Option<Defect>)> = vec![("", None)];
        choices.extend(names.iter().map(|(name, defect)| (name.as_str(), *defect)));
        Options {
            keep: settings.switch("keep"),
            load: LoadPlan {
                rate: settings.number("rate", 1.0..=100_000.0),
                seconds: settings.number("seconds", 1..=3_600),
                streams: settings.number("streams", 1..=100_000),
            },
            defect: settings.choice("break", &choices),
            seeds: settings.number("seeds", 1..=1_000_000),
            first_seed: settings.number("first-seed", 0..=u64::MAX / 2),
            sizes: settings.numbers("sizes", 2..=10_000),
            tenants: settings.number("tenants", 1..=100_000),
        }
    }
}

async fn run(options: Options, arguments: Vec<String>) -> Result<(), LabError> {
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["demo"] => demo::run(options.keep).await,
        ["load"] => load::run(&options.load).await,
        ["scenario", path] => command::run_path(path, options.defect),
        ["explore"] => {
            let seeds = options.first_seed..options.first_seed + options.seeds;
            command::explore(seeds, options.defect)
        }
        ["capacity"] => capacity::run(&options.sizes, options.tenants, options.load.seconds),
        [] => Err(LabError::Usage(String::from("no command given"))),
        other => Err(LabError::Usage(format!(
            "unknown command {}",
            other.join(" ")
        ))),
    }
}
