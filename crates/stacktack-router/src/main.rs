//! Entry point of the router.

fn main() {
    std::process::exit(stacktack_router::app::main());
}
