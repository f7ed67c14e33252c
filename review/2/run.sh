#!/usr/bin/env bash
# Plays the case of a lost worker before all entries are killed. TROUBLE=0 plays neither the loss nor the kill.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/saffronpulleyd ] || go build -ldflags=-linkmode=external -o target/ ./cmd/... || exit 2
review/build.sh || exit 2
exec timeout -k 5 110 target/review-standin lasting "$folder/record.txt"
