#!/bin/sh
# The stand-ins are scripts for Node.js without dependencies, so there is nothing to compile; checks that they parse.
cd "$(dirname "$0")/.." || exit 2
for file in review/stand-ins/*.mjs review/[1-5]/*.mjs; do
    node --check "$file" || exit 1
done
