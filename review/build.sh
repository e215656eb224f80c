#!/usr/bin/env bash
# Builds the stand-ins that the cases start: a package of its own without dependencies, so that no network is needed.
set -euo pipefail
cd "$(dirname "$0")/tools"
cargo build --release --locked --offline
