#!/bin/sh
# Builds the stand-ins of review/support-3/ into target/review-3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
"${CC:-cc}" -O1 -Wall -Wextra -pthread -o target/review-3/standin review/support-3/standin.c
