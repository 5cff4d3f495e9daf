#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file. Needs nothing but rustc.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O review/standin-2/main.rs -o target/review-2/standin
