#!/bin/bash
# Runs the case in the folder given. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run.
cd "$(dirname "$0")/.." || exit 2
case=target/review-2/case-$1
[ -x "$case" ] && [ -x target/release/lifthollow-platform ] || exit 2
set -m
"$case" "review/$1" &
pid=$!
trap 'kill -KILL -- -$pid 2>/dev/null; exit 2' TERM INT HUP
wait $pid
code=$?
kill -KILL -- -$pid 2>/dev/null
[ $code -le 1 ] && exit $code
exit 2
