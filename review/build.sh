#!/usr/bin/env bash
# The stand-ins of the cases are plain modules for Node, which need no build; checks that Node can parse them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
    node --check "$file"
done
