#!/usr/bin/env bash
# Runs the tests of all modules and evaluates them against KNOWN-RED.txt.
# Usage: test.sh [GO TEST FLAGS]
set -u
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/tools ./tools || exit 1
# On arm64 the race detector itself crashes in these packages (ThreadSanitizer: CHECK failed:
# tsan_rtl.cpp:346), in some runs. Their tests run without it there.
unraced=(currantport.example/core/relay currantport.example/core/feed)
run() {
	if [ "${1:-}" = -race ]; then
		# Packages with many parallel tests would otherwise take each other's time.
		set -- "$@" -p 4
	fi
	if [ "${1:-}" = -race ] && [ "$(uname -m)" = aarch64 ]; then
		# shellcheck disable=SC2046 # package paths have no spaces
		go test -timeout 3m -json "$@" $(go list work | grep -vxF "$(printf '%s\n' "${unraced[@]}")")
		go test -timeout 3m -json "${@:2}" "${unraced[@]}"
		return
	fi
	go test -timeout 3m -json "$@" work
}
run "$@" | bin/tools verdict -red KNOWN-RED.txt -ran "bin/tests${1:-}.txt"
# go test fails for known faults too, so that the verdict alone counts. A run
# without a passed test or with a package that wasn't built fails there.
exit "${PIPESTATUS[1]}"
