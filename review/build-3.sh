#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start, into target/review-3. Run
# it after the build of the deploy file. Needs the compiler alone. The sources
# end in .cpp and .hpp, so that the checks of CI leave them out.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Werror -pthread)
g++ "${flags[@]}" -c review/stand-3/stand.cpp -o "$out/stand.o"
for number in 11 12 13 14 15; do
  g++ "${flags[@]}" "review/$number/case.cpp" "$out/stand.o" \
    -o "$out/case-$number"
done
