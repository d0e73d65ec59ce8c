//! Entry point of the lab.

fn main() {
    std::process::exit(stacktack_lab::app::main());
}
