#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/standin-2/main.rs -o target/review-2/driver
