#!/usr/bin/env bash
# Measures a few hundred real processes on loopback addresses. The bytes are
# those of the loopback device: run it while nothing else uses the device.
# Usage: fleet.sh BIN DIR
set -euo pipefail
bin=$1
dir=$2
rm -rf "$dir"
mkdir -p "$dir"
pids=()
stop() {
	for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
	wait 2>/dev/null || true
}
trap stop EXIT
"$bin/stand" plan -dir "$dir" -entries "${ENTRIES:-30}" -engines 0 -plains "${AGENTS:-220}" -domains 2 -shared
while read -r program name; do
	"$bin/$program" serve -settings "$dir/$name.ini" 2>"$dir/$name.log" &
	pids+=($!)
done <"$dir/processes"
"$bin/stand" scale -dir "$dir"
