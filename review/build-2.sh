#!/usr/bin/env bash
# Builds the stand-ins and checks of the cases 6 to 10, without a network: the package has no dependencies. The build of
# the deploy file comes before it and builds the router.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/cases-2/Cargo.toml --target-dir target/review-2
