#!/usr/bin/env bash
# Builds the binaries and stand-ins and runs the `demo` example with default settings.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --locked --workspace --bins --examples
exec "${CARGO_TARGET_DIR:-target}/debug/examples/demo"
