#!/bin/sh
# Builds the stand-ins of the review's scripts. They use the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand-in review/stand-in/main.rs
