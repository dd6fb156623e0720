#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are plain modules of Node without dependencies, so
# that nothing has to be bundled: this checks that each of them can be parsed.
cd "$(dirname "$0")/.." || exit 1
for file in review/standins-2/*.mjs review/{6,7,8,9,10}/run.mjs; do
  node --check "$file" || exit 1
done
