#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript without dependencies, so there is nothing to compile: this checks that
# each of them can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs tried/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
