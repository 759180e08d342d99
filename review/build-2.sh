#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They need no library.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cargo build --release --offline --locked --manifest-path "$root/review/lib-2/Cargo.toml" \
  --target-dir "$root/target/review-2"
