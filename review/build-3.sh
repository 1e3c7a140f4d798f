#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are plain modules for Node.js, so this checks only that they can be read.
set -eu
cd "$(dirname "$0")"
for file in stand-ins-3/*.mjs 1[1-5]/*.mjs; do
    [ ! -e "$file" ] || node --check "$file"
done
