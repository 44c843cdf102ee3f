#!/usr/bin/env bash
# run-case.sh NUMBER: runs a case that was built by build.sh, in a temporary folder that is removed afterwards.
cd "$(dirname "$0")/.." || exit 2
[ -x target/bankbank-site ] && [ -x "target/review/case-$1" ] || exit 2
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
CASE_DIRECTORY=$directory CASE_RECORD=review/$1/record.txt timeout -k 5 110 "target/review/case-$1"
status=$?
[ -z "${KEEP_LOGS:-}" ] || cp "$directory"/log-* "$KEEP_LOGS"/
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
