#!/bin/sh
# Builds the stand-ins of the cases 4 to 8, with nothing but the C compiler and its threads.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
out="$root/target/review-2"
mkdir -p "$out"
for number in 4 5 6 7 8; do
    source="$root/review/$number/case.c"
    [ -f "$source" ] || continue
    ${CC:-cc} -O2 -Wall -Wextra -pthread -I "$root/review/support-2" -o "$out/case-$number" "$source" \
        "$root/review/support-2/deployment.c"
done
${CC:-cc} -O2 -Wall -Wextra -pthread -o "$out/standin" "$root/review/support-3/standin.c"
