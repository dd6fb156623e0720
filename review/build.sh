#!/usr/bin/env bash
# The stand-ins are plain Node modules, so nothing has to be bundled: checks that they can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
