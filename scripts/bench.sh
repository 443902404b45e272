#!/usr/bin/env bash
# Runs every benchmark once and prints one line of key=value pairs for each.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=bin
dir=run/bench
make -s build
rm -rf "$dir"
mkdir -p "$dir/weights"
echo tiny >"$dir/weights/part"
pids=()
stop() {
	for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
	wait 2>/dev/null || true
	pids=()
}
trap stop EXIT
if [[ request =~ ${BENCH:-.} ]]; then
	"$bin/stand" plan -dir "$dir" -engines 1 -entries 1 -token 1ms
	while read -r program name; do
		"$bin/$program" serve -settings "$dir/$name.ini" 2>"$dir/$name.log" &
		pids+=($!)
	done <"$dir/processes"
	"$bin/stand" drive -dir "$dir" -weights "$dir/weights" -first -within 30s >/dev/null
	"$bin/stand" gauge -dir "$dir"
	stop
fi
status=0
for m in core agent entry stand; do
	go test -run '^$' -bench "${BENCH:-.}" -benchtime 1x -timeout 10m "./$m/..." >"$dir/$m.txt" || status=1
	grep -E '^bench=|^--- FAIL|^FAIL|^panic' "$dir/$m.txt" || true
done
exit "$status"
