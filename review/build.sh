#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/stand"
mkdir -p ../../target/review
GOWORK=off go build -o ../../target/review/stand .
