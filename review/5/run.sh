#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
bin=target/review/release/review-standins
[ -x "$bin" ] || exit 2
"$bin" drain review/5 &
pid=$!
trap 'pkill -KILL -P "$pid"; kill "$pid"; exit 2' INT TERM
wait "$pid"
