#!/bin/sh
# Builds the stand-ins of the review's scripts with the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.rs; do
    [ -e "$case" ] || continue
    name=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O -o "target/review/case-$name" "$case"
done
