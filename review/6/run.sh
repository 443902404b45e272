#!/usr/bin/env bash
# Clients read their answers slowly beside a planned stop of their entry.
# TROUBLE=0 leaves the disruption out. Exit code: 1 broken, 0 held, 2 not run. Build first: the build line of
# deploy/system.toml, then review/build-2.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
for program in review/stand-2/bin/stand-2 target/platform; do
	[ -x "$program" ] || { echo "$program is missing"; exit 2; }
done
exec env TROUBLE="${TROUBLE:-1}" review/stand-2/bin/stand-2 slow target/platform "$here"
