#!/usr/bin/env bash
# Builds the stand-ins of the second review, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-2
