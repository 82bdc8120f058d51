#!/bin/sh
# Builds the program that runs the cases 6 to 10, with its stand-ins. It needs rustc and no package.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
rustc --edition 2024 -O -o "$root/target/review-2/review-2" "$root/review/standin-2/main.rs"
