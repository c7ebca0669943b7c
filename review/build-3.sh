#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start, into target/review-3.
# Needs the compiler of the deploy file's packages and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/stand-3/stand.cc -o "$out/stand.o"
for case in review/1[1-5]/case.cc; do
  [ -e "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  g++ "${flags[@]}" "$case" "$out/stand.o" -o "$out/case-$number" &
done
wait
for case in review/1[1-5]/case.cc; do
  [ -e "$case" ] || continue
  test -x "$out/case-$(basename "$(dirname "$case")")"
done
