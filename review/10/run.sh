#!/usr/bin/env bash
# Starts the stand-ins of this case, which start the daemon. Exits with 1 if the rule was broken, 0 if it held
# and 2 if the case could not run. With TROUBLE=0 there is no disruption.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
program="target/review-2/case-$(basename "$folder")"
[ -x "$program" ] && [ -x target/bin/rattanbayd ] || exit 2
scratch="$(mktemp -d)" || exit 2
trap 'rm -rf "$scratch"' EXIT
timeout --kill-after=5 110 "$program" target/bin/rattanbayd "$scratch" "$folder/record.txt" "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
