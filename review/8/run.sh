#!/bin/sh
# TROUBLE=0 runs the case without the disruption.
cd "$(dirname "$0")" && exec node case.mjs
