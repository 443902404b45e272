#!/usr/bin/env bash
# Switches off one mechanism after the other in a scratch copy and plays the soak, which
# must go red by the check named. Usage: mutants.sh DIR [NAME...]
# JOBS is the number of mutants at the same time, LENGTH that of a run.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$1
shift
mkdir -p "$dir"
dir=$(cd "$dir" && pwd)
# name~check~file~expression of perl~kinds of faults, joined by commas
mutants=$(cat <<'END'
once~once~core/tries/tries.go~s/again := t\.route\.Repeatable\(\) && /again := /~upstream-lossy
refused~refused~core/tries/tries.go~s/return StepUnknown\n}\n\n/return StepRefuse\n}\n\n/~upstream-lossy
partial~answer~entry/internal/course/answer.go~s/return t\.brokeOff\(ctx, w, err\)/return t.endStream(a, reply)/~upstream-lossy
resume~answer~entry/internal/course/trip.go~s/After: t\.sink\.after\}/After: t.call.After}/~upstream-lossy
foreign~answer~platform/internal/bridge/upstream.go~s/return echoed == id \|\| /return true || echoed == id || /~upstream-doubled
target~unchanged~platform/internal/bridge/upstream.go~s/Target: c\.Target,/Target: c.Path,/~config
workspace~workspace~entry/internal/course/trip.go~s/a\.Workspace = t\.admission\.Workspace\.Name/a.Workspace = "workspace-0"/~config
secret~workspace~platform/internal/bridge/callers.go~s/forms\.HeaderKey: true, //~config
revoked~revoked~entry/internal/course/admit.go~s/if v\.Age > b\.Revoke \{/if false {/~store-hung,config-revoke
drain~drain~entry/internal/target/choose.go~s/!u\.row\.Draining && //; s/if u\.row\.Draining \|\| /if /~upstream-drain
routes~route~core/state/build.go~s/into\[name\] = row/if _, ok := into[name]; !ok { into[name] = row }/~config
late~apply~core/feed/mirror.go~s/(rows := m\.differing\(u\)\n)/$1\tif len(rows) > 3 { time.Sleep(3 * time.Second) }\n/~config
forward~forward~core/feed/mirror.go~s/(rows := m\.differing\(u\)\n)/$1\tif u.Head%7 == 0 { rows = nil }\n/~config
denied~denied~entry/internal/course/admit.go~s/if v\.Age > b\.Settled \{/if false {/g~store-hung,config-revoke
version~version~entry/internal/target/choose.go~s/return end\.IsZero\(\) \|\| /return true || /~release,origin-down
weights~weights~agent/internal/loader/stage.go~s/(func \(s \*stage\) check\(ctx context\.Context\) bool \{\n)/$1\tif true { return true }\n/~release,upstream-spoilt
budget~budget~entry/internal/course/course.go~s/return c\.budgetOf\(pool\)\.Spend\(clocks\.Now\(\), c\.options\.Entries\(\)\)/return true/~upstream-grey,link-reset
left~left~entry/internal/course/course.go~s/t\.run\(r\.Context\(\)\)/t.run(context.WithoutCancel(r.Context()))/~config
held~held~entry/internal/course/trip.go~s/context\.WithDeadline\(ctx, t\.deadline\)/context.WithDeadline(ctx, t.deadline.Add(5*time.Second))/~link-dark
stop~stop~entry/internal/caller/caller.go~s/(began := time\.Now\(\)\n\ts\.leaving)/return 0\n\t$1/~entry-stop
lost~lost~entry/internal/course/course.go~s/(t\.run\(r\.Context\(\)\)\n)/$1\tif t.arrived.UnixNano()%20 == 0 { panic(http.ErrAbortHandler) }\n/~config
recover~recover~core/health/health.go~s/return now\.Before\(r\.until\)/return !r.until.IsZero()/~upstream-crash,link-reset
exit~exit~core/parts/server.go~s/(func \(s Seeds\) renew\(\) \{\n)/$1\tpanic("settings")\n/~settings
END
)
play() {
	local name=$1 check=$2 file=$3 expression=$4 kinds=$5 copy=$dir/$1
	rm -rf "$copy"
	git clone -q . "$copy"
	perl -0pi -e "$expression" "$copy/$file"
	if git -C "$copy" diff --quiet; then
		echo "mutant=$name check=$check outcome=unchanged"
		return
	fi
	(cd "$copy" && go build -o bin/platform ./platform && go build -o bin/stand ./stand) >"$copy/build.log" 2>&1 || {
		echo "mutant=$name check=$check outcome=unbuilt"
		return
	}
	(cd "$copy" && bin/stand soak -seed "${SEED:-1}" -length "${LENGTH:-15s}" -only "$kinds" >soak.log 2>&1) || true
	local seen
	seen=$(sed -n 's/^soak=broken .*check=\([a-z]*\) count=\([0-9]*\).*/\1:\2/p' "$copy/soak.log" | paste -sd,)
	if grep -q "check=$check " "$copy/soak.log"; then
		echo "mutant=$name check=$check outcome=red seen=$seen"
	else
		echo "mutant=$name check=$check outcome=GREEN seen=$seen"
	fi
}
running=0
while IFS='~' read -r name check file expression kinds; do
	if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then continue; fi
	play "$name" "$check" "$file" "$expression" "$kinds" &
	running=$((running + 1))
	if [ "$running" -ge "${JOBS:-4}" ]; then
		wait -n
		running=$((running - 1))
	fi
done <<<"$mutants"
wait
