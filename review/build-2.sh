#!/bin/sh
# Builds the stand-ins and cases of the second review, to target/review-2: they need the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2024 -O -o target/review-2 review/standins-2/main.rs
