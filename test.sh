#!/bin/sh
# Runs the project's tests. Requires only the Rust toolchain and the crate registry. Tests listed in KNOWN-RED.txt, which
# fail because of a known fault that is not fixed yet, are skipped and printed; all others must pass.
set -eu
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
set --
if [ -s KNOWN-RED.txt ]; then
    names=$(mktemp)
    trap 'rm -f "$names"' EXIT
    cargo test --workspace --locked -- --list --format terse | sed -n 's/: test$//p' > "$names"
    known=$(.ci/known-red KNOWN-RED.txt "$names")
    for name in $known; do
        set -- "$@" --skip "$name"
    done
    echo "passed over, as KNOWN-RED.txt has them:"
    cat KNOWN-RED.txt
fi
cargo test --workspace --locked -- --exact "$@"
