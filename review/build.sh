#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked -p test-support --example platform-stand-in
cargo build --release --locked --offline --manifest-path review/Cargo.toml --target-dir target/review
