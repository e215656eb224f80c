#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. After the build of the deploy file; needs no network.
set -eu
cd "$(dirname "$0")/stand-ins-2"
cargo build --release --offline --locked
