#!/bin/sh
# The stand-ins of the cases 11 to 15 are plain JavaScript modules, so nothing is compiled; this checks that each one parses.
set -e
cd "$(dirname "$0")"
for file in support-3/*.mjs 1[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
