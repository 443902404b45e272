#!/usr/bin/env bash
# Checks the documents against the tree and the last run of the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
failed=0
fault() {
	echo "docs fault=$1 file=$2" >&2
	failed=1
}
for f in README.md docs/{ARCHITECTURE,API,EDGES,OPERATE,GLOSSARY,STYLE,CAPACITY,FAULTS,WEIGHTS,REQUESTS}.md; do
	[ -s "$f" ] || fault missing "$f"
done
# Links between the pages lead to files.
while IFS=: read -r page link; do
	target=${link#](}
	target=${target%%[#)]*}
	[ -z "$target" ] && continue
	case $target in http*) continue ;; esac
	[ -e "$(dirname "$page")/$target" ] || fault "link-$target" "$page"
done < <(grep -oHE '\]\([^)#]+' README.md docs/*.md)
# Every make target that a page names exists.
while read -r target; do
	grep -qE "^$target:" Makefile || fault "target-$target" Makefile
done < <(grep -ohE '`make [a-z]+' README.md docs/*.md | awk '{print $2}' | sort -u)
cat bin/tests.txt bin/crowd.txt >bin/ran.txt
bin/tools matrix -doc docs/FAULTS.md -ran bin/ran.txt || failed=1
[ "$failed" = 0 ] && echo "docs valid=true"
exit "$failed"
