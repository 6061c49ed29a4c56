#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption.
cd "$(dirname "$0")" || exit 2
number=$(basename "$PWD")
repository=$(cd ../.. && pwd)
[ -x "$repository/target/bin/rattanbayd" ] && [ -x "../bin/case$number" ] || exit 2
temporary=$(mktemp -d) || exit 2
"../bin/case$number" "$repository" "$temporary" "$PWD/record.txt" "${TROUBLE:-1}"
result=$?
rm -rf "$temporary"
[ "$result" -le 2 ] || result=2
exit "$result"
