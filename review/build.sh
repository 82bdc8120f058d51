#!/bin/sh
# Builds the program that runs the cases, with its stand-ins. It needs rustc and no other package.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review"
rustc --edition 2024 -O -o "$root/target/review/review" "$root/review/standin/main.rs"
