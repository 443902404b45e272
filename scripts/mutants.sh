#!/usr/bin/env bash
# Switches off one mechanism after the other in a scratch copy and plays the soak, which
# must go red by the check named. Usage: mutants.sh DIR [NAME...]
# JOBS is the number of mutants at the same time; LENGTH and SPAN are those of a run.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$1
shift
mkdir -p "$dir"
dir=$(cd "$dir" && pwd)
# name~check~file~expression of perl~kinds of faults, joined by commas~mean time between faults
mutants=$(cat <<'END'
once~once~core/tries/tries.go~s/return a\.route\.IsRetryable\(\) && /return /~upstream-lossy
refused~refused~core/tries/tries.go~s/return StepUnknown\n}\n\n/return StepRefuse\n}\n\n/~upstream-lossy
partial~answer~entry/internal/proxy/response.go~s/return l\.streamLost\(ctx, f, err\)/return l.finishStream(response, reply, e)/~upstream-lossy
resume~answer~entry/internal/proxy~s/LastEventID: l\.stream\.lastEventID\}/LastEventID: l.call.LastEventID}/; s/return err != nil \|\| next > last/return true || err != nil || next > last/~upstream-lossy
unsound~answer~core/conns/exchange.go~s/if err := heads\.Check\(response\.StatusCode, response\.Header\); err != nil \{/if err := heads.CheckFields(nil); err != nil {/~upstream-garbled
foreign~answer~platform/internal/bridge/upstream.go~s/return echoed == id \|\| /return true || echoed == id || /~upstream-doubled
target~unchanged~platform/internal/bridge/upstream.go~s/Target: c\.Target,/Target: c.Path,/~config
unasked~unasked~platform/internal/bridge/upstream.go~s/(\th\.Set\(forms\.HeaderDeadline)/\th.Set(forms.HeaderID, string(c.ID)+"x")\n$1/~config
address~address~entry/server/build.go~s/ClientAddress: s\.ClientAddress/ClientAddress: s.MeshAddress/~config
workspace~workspace~entry/internal/proxy/attempt.go~s/a\.Workspace = l\.admission\.Workspace\.Name/a.Workspace = "workspace-0"/~config
secret~workspace~platform/internal/bridge/client.go~s/forms\.HeaderAPIKey: true, //~config
revoked~revoked~entry/internal/proxy/admit.go~s/if v\.Staleness > b\.MaxKeyStaleness \{/if false {/~store-hung,config-revoke
drain~drain~entry/internal/target/exclude.go~s/case u\.row\.Draining \|\| u\.demands\.leaving:/case false:/~upstream-drain
routes~route~core/state/build.go~s/into\[name\] = row/if _, ok := into[name]; !ok { into[name] = row }/~config
late~route~core/feed/mirror.go~s/(rows := m\.changedRows\(u\)\n)/$1\tif len(rows) > 1 { time.Sleep(3 * time.Second) }\n/~config~2s
forward~forward~core/feed/mirror.go~s/return m\.snapshot\.Load\(\) \}/if s := older.Load(); s != nil \&\& time.Now().UnixNano()%5 == 0 { return s }; return m.snapshot.Load() }\n\nvar older atomic.Pointer[state.Snapshot]/; s/(\t\tm\.snapshot\.Store\(snapshot\))/\t\tolder.Store(m.snapshot.Load())\n$1/~config
denied~denied~entry/internal/proxy/admit.go~s/if !v\.State\.Configured \|\| !v\.Confirmed \{/if false {/~entries-kill,store-hung
version~version~entry/internal/target/releases.go~s/return end\.IsZero\(\) \|\| /return true || /~release,origin-down
unseen~version~core/feed/mirror.go~s/r\.NotBefore\.After\((m\.)?completeAt\)/false/; s/return (m\.)?completeAt\n/return time.Now()\n/~release-unseen~6s
poison~poison~core/crash/crash.go~s/if r\.parts\.isQuarantined\(q\.Parts\) \{/if false {/~poison-part~6s
innocent~innocent~core/crash/parts.go~s/(\) isQuarantined\(parts \[\]Fingerprint\) bool \{\n)/$1\tif len(t.convicted) > 0 { return true }\n/~poison-part~6s
weights~weights~agent/internal/loader/stage.go~s/(func \(s \*stager\) verify\(ctx context\.Context\) bool \{\n)/$1\tif true { return true }\n/~release,upstream-spoilt,upstream-spoilt,upstream-spoilt,upstream-spoilt,upstream-spoilt,upstream-spoilt,upstream-spoilt~250ms
numbered~weights~agent/internal/loader~s/v\.Sequence\[n\]/v.Pieces[n].Digest/g; s/len\(v\.Sequence\)/len(v.Pieces)/g~release
outdated~older~platform/internal/bridge/engine.go~s/, Expected: &expected//~orders-late,release-series~1s
unsettled~weights~agent/internal/loader/loader.go~s/if l\.open != nil \{\n\t\tl\.stager/if false {\n\t\tl.stager/; s/if l\.open == nil && len/if len/~orders-late,release-series~1s
budget~budget~entry/internal/proxy/handler.go~s/return h\.budgetOf\(pool\)\.TrySpend\(clocks\.Now\(\), h\.options\.Entries\(\)\)/return true/~upstream-grey~100ms
left~left~entry/internal/proxy~s/l\.run\(r\.Context\(\)\)/l.run(context.WithoutCancel(r.Context()))/; s/(if err := l\.stream\.writeEvent\(e, r\.HasBuffered\(\)\); err != nil) \{/$1 \&\& false {/~config
ahead~left~core/watch/conn.go~s/if s\.started \{\n\t\treturn/if true {\n\t\treturn/~upstreams-late,config
held~held~entry/internal/proxy/handler.go~s/l\.deadline = l\.arrived\.Add\(timeoutOf\(&l\.call, l\.admission\.Route\)\)/l.deadline = l.arrived.Add(timeoutOf(\&l.call, l.admission.Route) + 1500*time.Millisecond)/~link-dark
stop~stop~entry/internal/httpd/httpd.go~s/(start := time\.Now\(\)\n\ts\.draining)/return 0\n\t$1/~entry-stop
lost~lost~entry/internal/proxy/handler.go~s/(l\.run\(r\.Context\(\)\)\n)/$1\tif l.arrived.UnixNano()%20 == 0 { panic(http.ErrAbortHandler) }\n/~config
unanswered~unanswered~entry/internal/httpd/httpd.go~s/(\t\ts\.current\.listener\.stop\(\)\n)(\t\}\n\tc := )/$1\t\tgo func(h *http.Server) { _ = h.Close() }(s.current.http)\n$2/~config
settingslost~lost~entry~s/(func startSeedReload\(lc fx\.Lifecycle, )/$1server *httpd.Server, /; s/Set: n\.SetSeeds,/Set: func(all []netip.AddrPort) { n.SetSeeds(all); server.Drop() },/; s/(func \(s \*Server\) close\(\) \{\n)/func (s *Server) Drop() {\n\ts.mutex.Lock()\n\th := s.current.http\n\ts.replaceServer()\n\ts.mutex.Unlock()\n\t_ = h.Close()\n}\n\n$1/~settings-series
recover~recover~core/feed/mirror.go~s/m\.confirmedAt\.Store\(&u\.ConfirmedAt\)/m.confirmedAt.CompareAndSwap(nil, \&u.ConfirmedAt)/~config
leaving~leaving~entry/internal/target/exclude.go~s/u\.row\.Draining \|\| u\.demands\.leaving:/u.row.Draining:/~upstream-leave
holds~holds~entry/internal/target/exclude.go~s/case u\.demands\.isHeld\(now\):/case false:/~upstream-held~300ms
limitignored~limits~entry/internal/target/limits.go~s/(isLimited bool\) bool \{\n)/$1\tif true { return false }\n/~upstream-limit~1s
limitunshared~limits~entry/internal/target/limits.go~s/isOwner := owner == f\.options\.Self \|\| /isOwner := true || /~upstream-limit~1s
limitforgotten~limits~entry/internal/target/limits.go~s/if !s\.isSet\(now\) \{\n\t\treturn true/if !s.isSet(now) || now.Sub(s.changedAt) > time.Second {\n\t\treturn true/~upstream-limit~1s
retained~revoked~core/feed/mirror.go~s/m\.retention\.beginEra\(now, active, platform\)/m.retention.rows = nil/~store-restore,config-revoke,config-revoke,config-revoke
cold~cold~entry/internal/target/cold.go~s/if c\.rate == 0 \|\|/if true ||/~upstream-cold,domain-cold
homes~homes~entry/internal/target/exclude.go~s/case !reqs\.Homes\.Allows\(f\.options\.Regions\[domain\]\):/case false:/~homes~2s
evacuated~evacuated~entry/internal/target/exclude.go~s/case f\.evacuated\[domain\]:/case false:/~evacuate~2s
reload~reload~agent/internal/loader/loader.go~s/(\tif lost \{\n)/\tif lost \&\& !l.statusAt.IsZero() {\n\t\ts.Held = nil\n\t}\n$1/~upstream-stall,upstream-stalls,config
quarantined~quarantined~.~s/(outcome = target\.OutcomeTimeout\n)/$1\t\tl.handler.options.Crashes.RecordLoss(l.identity, f.Row.ID, l.sentAt)\n\t\tl.handler.options.Crashes.RecordCrash(f.Row.ID, "silence")\n/; s/(func \(r \*Registry\) RecordSurvival\(q Request\) \{\n)/$1\tif len(q.Parts) > 0 {\n\t\treturn\n\t}\n/~upstream-stall,upstream-stalls
waited~waited~entry/internal/proxy/watchdog.go~s/ && w\.lifecycle\.reserveRetry\(reqs\)/ \&\& true/~upstream-stall,upstream-stalls
power~recover~agent/internal/loader/loader.go~s/if !l\.stager\.isComplete\(t\) \|\| /if len(l.status.Held) == 0 || !l.stager.isComplete(t) || /~config,power
memory~memory~entry/internal/proxy/handler.go~s/(l\.run\(r\.Context\(\)\)\n)/$1\tpart := make([]byte, 1<<20); for i := range part { part[i] = 1 }; kept.Store(l, part)\n/; s/\z/\nvar kept sync.Map\n/; s/"sync"\n//; s/import \(\n/import (\n\t"sync"\n/~config
exit~exit~core/parts/server.go~s/(func \(s SeedWatcher\) reload\(\) \{\n)/$1\tpanic("settings")\n/~settings
END
)
play() {
	local name=$1 check=$2 file=$3 expression=$4 kinds=$5 gap=$6 copy=$dir/$1
	rm -rf "$copy"
	git clone -q . "$copy"
	find "$copy/$file" -name '*.go' ! -name '*_test.go' -exec perl -0pi -e "$expression" {} +
	if git -C "$copy" diff --quiet; then
		echo "mutant=$name check=$check outcome=unchanged"
		return
	fi
	(cd "$copy" && go build -o bin/platform ./platform && go build -o bin/stand ./stand) >"$copy/build.log" 2>&1 || {
		echo "mutant=$name check=$check outcome=unbuilt"
		return
	}
	(cd "$copy" && bin/stand soak -seed "${SEED:-1}" -length "${LENGTH:-20s}" -gap "$gap" -span "${SPAN:-20s}" -only "$kinds" >soak.log 2>&1) || true
	local seen
	seen=$(sed -n 's/^soak=broken .*check=\([a-z]*\) count=\([0-9]*\).*/\1:\2/p' "$copy/soak.log" | paste -sd,)
	if grep -q "check=$check " "$copy/soak.log"; then
		echo "mutant=$name check=$check outcome=red seen=$seen"
	else
		echo "mutant=$name check=$check outcome=GREEN seen=$seen"
	fi
}
running=0
while IFS='~' read -r name check file expression kinds gap; do
	if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then continue; fi
	play "$name" "$check" "$file" "$expression" "$kinds" "${gap:-300ms}" &
	running=$((running + 1))
	if [ "$running" -ge "${JOBS:-4}" ]; then
		wait -n
		running=$((running - 1))
	fi
done <<<"$mutants"
wait
