#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the programs of the deploy file.
set -eu
cd "$(dirname "$0")/stand-3"
mkdir -p ../../target
GOWORK=off go build -o ../../target/stand3 .
