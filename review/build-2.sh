#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/ start. Needs no network: it has no dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
    --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
