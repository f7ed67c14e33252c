#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. The project itself is built by the build line of deploy/system.toml before.
set -e
cd "$(dirname "$0")/standin2"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review2 .
