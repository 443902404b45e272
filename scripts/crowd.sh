#!/usr/bin/env bash
# Runs the tests that play clients that don't behave against an entry of its own, one after the other, and
# evaluates them against KNOWN-RED.txt.
set -u
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/tools ./tools || exit 1
go test -tags crowd -count 1 -timeout 10m -json ./platform/crowd | bin/tools verdict -red KNOWN-RED.txt -ran bin/crowd.txt
# As in test.sh, the verdict alone counts.
exit "${PIPESTATUS[1]}"
