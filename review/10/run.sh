#!/usr/bin/env bash
# Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
# TROUBLE=0 does the same without the two copies of the store and the kill.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-lab drill target/burdocklift "$folder/record.txt"
