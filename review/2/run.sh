#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
# TROUBLE=0 leaves out the disruption; the program reads it.
export TROUBLE="${TROUBLE:-1}"
[ -x target/release/bronzelbd ] && [ -x target/review/stand-in ] || exit 2
exec target/review/stand-in late-ping "$folder/record.txt"
