#!/usr/bin/env bash
# Runs the tests of all modules and evaluates them against KNOWN-RED.txt.
# Usage: test.sh [GO TEST FLAGS]
set -u
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/tools ./tools || exit 1
go test -timeout 3m -json "$@" work | bin/tools verdict -red KNOWN-RED.txt -ran "bin/tests${1:-}.txt"
# go test fails for known faults too, so that the verdict alone counts. A run
# without a passed test or with a package that wasn't built fails there.
exit "${PIPESTATUS[1]}"
