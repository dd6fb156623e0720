#!/usr/bin/env bash
# Exits with 1 if the rule was broken, with 0 if it held, with 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/nutmegproxy.cjs ] || exit 2
node review/5/run.mjs
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
