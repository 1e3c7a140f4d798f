#!/bin/sh
# The stand-ins of cases 6 to 10 are plain JavaScript of Node.js 20 and need no build; this checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
    if [ -f "$file" ]; then
        node --check "$file"
    fi
done
