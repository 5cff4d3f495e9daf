#!/bin/sh
# Builds the stand-ins and the cases of this review: one program, of the standard library only. Run after the build of the
# deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/world review/standin/main.rs
