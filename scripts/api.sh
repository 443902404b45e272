#!/usr/bin/env bash
# Runs the curl lines of docs/API.md against the fakes and checks what they
# print. Usage: api.sh BIN DIR
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$1
dir=$2
rm -rf "$dir/api"
mkdir -p "$dir/api/weights"
echo tiny >"$dir/api/weights/part"
pids=()
stop() {
	for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
	wait 2>/dev/null || true
}
trap stop EXIT
"$bin/stand" plan -dir "$dir/api" -engines 2 -entries 1
while read -r program name; do
	"$bin/$program" serve -settings "$dir/api/$name.ini" 2>"$dir/api/$name.log" &
	pids+=($!)
done <"$dir/api/processes"
"$bin/stand" drive -dir "$dir/api" -weights "$dir/api/weights" -first -within 30s
export ENTRY=127.10.1.1:7000
# An entry that has just started refuses requests until it has caught up.
for _ in $(seq 100); do
	[[ $(curl -s "http://$ENTRY/v1/routes/draft" -H 'Workspace: harbour' -H 'Content-Type: application/json' -d '{}') == *'"reason":'* ]] || break
	sleep 0.1
done
lines=0
while IFS= read -r line; do
	want=${line##*# => }
	got=$(bash -c "${line%%# => *}")
	lines=$((lines + 1))
	case $got in
	*"$want"*) ;;
	*)
		echo "docs fault=curl line=\"$line\" got=\"$got\"" >&2
		exit 1
		;;
	esac
done < <(grep '^curl .*# => ' docs/API.md)
echo "docs curl=$lines"
