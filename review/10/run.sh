#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
number=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
[ -x "target/review-2/case-$number" ] && [ -x target/platform/anvilpost_platformd ] || exit 2
folder=$(mktemp -d) || exit 2
clean_up() {
    # Only processes that the case started, and only if they are still the daemon.
    while read -r pid; do
        [[ "$(readlink "/proc/$pid/exe")" == */target/platform/anvilpost_platformd ]] && kill -KILL "$pid"
    done <"$folder/pids"
    rm -rf "$folder"
} 2>/dev/null
trap clean_up EXIT
timeout 118 "target/review-2/case-$number" "review/$number" "$folder"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
