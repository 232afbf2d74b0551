#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file. All libraries are those of the program's own build,
# in the same versions, so that no network is needed.
cd "$(dirname "$0")/.." || exit 1
exec cargo build --release --locked --offline --manifest-path review/stand-ins/Cargo.toml --target-dir target/review
