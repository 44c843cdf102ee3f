#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-3]/case.c; do
    name=$(basename "$(dirname "$source")")
    cc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -pthread -Ireview -o "target/review/case-$name" "$source" \
        review/site.c
done
