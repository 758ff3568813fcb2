#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. No dependencies, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/1/standins/Cargo.toml \
    --target-dir target/review
