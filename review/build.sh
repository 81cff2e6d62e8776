#!/bin/sh
# Builds the stand-ins and drivers of the cases' scripts, without a network. The deploy file's build
# (cargo build --release --package celerycrank-cli) has to run as well; the scripts start its binary.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
