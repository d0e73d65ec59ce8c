//! Entry point of the agent.

fn main() {
    std::process::exit(stacktack_agent::app::main());
}
