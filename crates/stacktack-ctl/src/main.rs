//! Entry point of the operators' command line.

fn main() {
    std::process::exit(stacktack_ctl::app::main());
}
