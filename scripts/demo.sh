#!/usr/bin/env bash
# Runs the whole path on fakes: all programs as separate processes, each host on a
# loopback address of its own. Usage: demo.sh BIN DIR [WEIGHTS]
set -euo pipefail
bin=$1
dir=$2
weights=${3:-}
if [ "$(cat "$dir/.demo" 2>/dev/null)" = demo ]; then rm -rf "$dir"; fi
mkdir -p "$dir"
echo demo >"$dir/.demo"
pids=()
names=()
stop() {
	for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
	wait 2>/dev/null || true
}
trap stop EXIT
"$bin/stand" plan -dir "$dir" -engines "${ENGINES:-6}" -entries "${ENTRIES:-2}" -rate "${RATE:-64MiB}"
while read -r program name; do
	"$bin/$program" serve -settings "$dir/$name.ini" 2>"$dir/$name.log" &
	pids+=($!)
	names+=("$name")
done <"$dir/processes"
"$bin/stand" drive -dir "$dir" -weights "$weights" -within "${WITHIN:-2m}" &
drive=$!
ended=
wait -n -p ended "$drive" "${pids[@]}" && status=0 || status=$?
if [ "$ended" != "$drive" ]; then
	kill "$drive" 2>/dev/null || true
	echo "check=failed cause=\"a process ended early\"" >&2
	tail -n 3 "$dir"/*.log >&2
	exit 1
fi
[ "$status" = 0 ] || exit "$status"
# SIGTERM is a graceful shutdown of every process, which exits with 0.
for p in "${pids[@]}"; do kill "$p"; done
for i in "${!pids[@]}"; do
	wait "${pids[i]}" || {
		echo "check=failed cause=\"${names[i]} did not stop gracefully\"" >&2
		tail -n 3 "$dir/${names[i]}.log" >&2
		exit 1
	}
done
pids=()
echo "check=stop ok=true"
