#!/bin/sh
# Builds the stand-ins of the cases review/4 to review/8, after the build of the deploy file. They use
# the standard library only, so that no network is needed.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 4 5 6 7 8; do
    [ -f "review/$number/case.rs" ] || continue
    rustc --edition 2024 -O -o "target/review-2/case-$number" "review/$number/case.rs"
done
