#!/bin/sh
# Builds the stand-ins of all cases into target/review. They use the standard library only.
set -e
cd "$(dirname "$0")/standins"
CARGO_TARGET_DIR=../../target/review exec cargo build --release --locked --offline
