#!/usr/bin/env bash
# Builds the stand-ins of all scripts, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/drill/Cargo.toml --target-dir target/review
