#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
number=$(basename "$here")
[ -x target/burdockhilld ] && [ -x "target/review-3/case-$number" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
# Daemons end with the case, also if that is killed.
timeout --kill-after=2 110 "target/review-3/case-$number" "$folder" "$here/record.txt" &
case_pid=$!
trap 'kill -TERM $case_pid; wait $case_pid; exit 2' TERM INT
wait $case_pid
result=$?
[ -n "$KEEP" ] && cp "$folder"/*.log "$KEEP"/
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
