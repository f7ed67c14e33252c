#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They use the standard library only and are a module of their own.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-standin .
