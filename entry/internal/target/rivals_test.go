package target_test

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/timing"
	"currantport.example/entry/internal/target"
)

// rivalEngine is what an entry of a rival policy knows of an engine.
type rivalEngine struct {
	own, unread, sent int
	report            target.LoadReport
	reportedAt        time.Time
	// others and othersUnread are the load that the other entries of the region report.
	others, othersUnread int
	// unknown is the part of the last report that nobody in the region accounts for.
	unknown        int
	remote, usable bool
	assigned       bool
	credit         float64
}

// rival chooses engines by another policy than the product, from the same information and with the same
// admission.
type rival struct {
	herd    *herd
	self    int
	policy  string
	engines []rivalEngine
	told    map[hosts.Name][]target.EntryLoad
	toldAt  map[hosts.Name]time.Time
	// rate is the number of requests per second that the other entries of the region start, by their
	// messages.
	rate float64
}

// rivalPlacement is a request of a rival policy.
type rivalPlacement struct {
	engine *rivalEngine
	unread int
}

func (p *rivalPlacement) RecordFirstEvent(time.Time) {
	p.engine.unread -= p.unread
	p.unread = 0
}

func (p *rivalPlacement) Finish(time.Time, target.Outcome) { p.engine.own-- }

func newRival(policy string) func(h *herd, i int) chooser {
	return func(h *herd, i int) chooser {
		v := &rival{herd: h, self: i, policy: policy, engines: make([]rivalEngine, len(h.rows)), told: make(map[hosts.Name][]target.EntryLoad), toldAt: make(map[hosts.Name]time.Time)}
		for k := range v.engines {
			e := &v.engines[k]
			e.remote = k%3 != i%3
			ahead, key := 0, "guest "+h.rows[k].ID
			for j := range h.hosts {
				if j%3 != k%3 && hosts.Score(key, h.hosts[j].Name) > hosts.Score(key, h.hosts[i].Name) {
					ahead++
				}
			}
			e.usable = (!e.remote || ahead < 4) && (!h.evacuated || k%3 != 0)
		}
		v.deal()
		return v
	}
}

// deal assigns the engines of the region to its entries: in turn, or in proportion to the load that the
// entries report.
func (v *rival) deal() {
	var mine []int
	var ends []float64
	sum := 0.0
	for j := v.self % 3; j < len(v.herd.hosts); j += 3 {
		sum += v.weight(j)
		mine, ends = append(mine, j), append(ends, sum)
	}
	count := float64((len(v.engines) - v.self%3 + 2) / 3)
	for k := v.self % 3; k < len(v.engines); k += 3 {
		at := (float64(k/3) + 0.5) / count * sum
		v.engines[k].assigned = mine[slices.IndexFunc(ends, func(end float64) bool { return at < end })] == v.self
	}
}

// weight returns the part of the engines that an entry gets, relative to the others.
func (v *rival) weight(entry int) float64 {
	if v.policy != "redealt" {
		return 1
	}
	told := v.told[v.herd.hosts[entry].Name]
	if entry == v.self {
		told = v.loads(time.Time{})
	}
	w := 1.0
	for _, l := range told {
		w += float64(l.Running)
	}
	return w
}

// load returns the estimate of the policy.
func (v *rival) load(now time.Time, k int) timing.Load {
	e := &v.engines[k]
	if v.policy == "oracle" {
		return v.herd.exactLoad(k)
	}
	l := timing.Load{Running: e.own + e.others, Unread: e.unread + e.othersUnread, Pace: 1}
	if !e.reportedAt.IsZero() {
		l.Running, l.Pace = l.Running+e.unknown, e.report.Pace
	}
	if e.remote {
		l.Running += e.sent * 3
	}
	if v.policy == "likely" && !e.remote {
		local := len(v.engines) / 3
		l.Running += int(v.rate*v.meanAge(now).Seconds()/float64(local) + v.herd.random.Float64())
	}
	return l
}

// exactLoad is the present load of an engine, which no entry knows.
func (h *herd) exactLoad(k int) timing.Load {
	m := h.engines[k]
	l := timing.Load{Running: m.running(), Pace: max(m.pace, 1)}
	for _, a := range slices.Concat(m.batch, m.queue) {
		if !a.served {
			l.Unread += a.prompt
		}
	}
	return l
}

func (v *rival) meanAge(now time.Time) time.Duration {
	sum := time.Duration(0)
	for _, at := range v.toldAt {
		sum += now.Sub(at)
	}
	return sum / time.Duration(max(len(v.toldAt), 1))
}

type rivalCandidate struct {
	k    int
	load timing.Load
	cost float64
}

func (v *rival) choose(now time.Time, a *request) int {
	reqs, slots := v.herd.requirements(now, a), v.herd.pool.Engine.Slots
	var all []rivalCandidate
	for k := range v.engines {
		e := &v.engines[k]
		if !e.usable {
			continue
		}
		c := rivalCandidate{k: k, load: v.load(now, k)}
		reserve := 0
		if e.remote && v.policy != "oracle" {
			reserve = slots / 3
		}
		c.cost = float64(timing.FirstEvent(v.herd.pool.Engine, c.load, a.prompt)) * (1 + 0.05*v.herd.random.Float64())
		if e.remote {
			c.cost += 60e6
		}
		if (v.policy == "preferred" || v.policy == "redealt") && !e.assigned {
			c.cost += 250e6
			reserve = max(reserve, slots/5)
		}
		if rivalAdmits(reqs, c.load, reserve) {
			all = append(all, c)
		}
	}
	if len(all) == 0 {
		return -1
	}
	return v.send(a, v.pick(now, all))
}

// rivalAdmits is the admission of the product.
func rivalAdmits(reqs target.Requirements, l timing.Load, reserve int) bool {
	e := reqs.Pool.Engine
	free := e.Slots + e.Slots/8 - reserve - l.Running
	switch {
	case timing.FirstEvent(e, l, e.PromptTokens) <= reqs.Remaining:
		return free > 0
	case timing.FirstEvent(e, timing.Load{}, e.PromptTokens) <= reqs.Remaining:
		return free > e.Slots/8
	}
	return free > e.Slots/3
}

func (v *rival) pick(now time.Time, all []rivalCandidate) int {
	local := slices.DeleteFunc(slices.Clone(all), func(c rivalCandidate) bool { return v.engines[c.k].remote })
	if len(local) == 0 {
		local = all
	}
	random, slots := v.herd.random, float64(v.herd.pool.Engine.Slots)
	switch v.policy {
	case "two":
		a, b := local[random.IntN(len(local))], local[random.IntN(len(local))]
		if b.cost < a.cost {
			return b.k
		}
		return a.k
	case "aged":
		mean := 0.0
		for _, c := range local {
			mean += c.cost / float64(len(local))
		}
		for i := range local {
			w := math.Exp(-float64(now.Sub(v.engines[local[i].k].reportedAt)) / 400e6)
			local[i].cost = w*local[i].cost + (1-w)*mean*(1+random.Float64())
		}
		all = local
	case "shares":
		most := slices.MaxFunc(local, func(a, b rivalCandidate) int { return cmp.Compare(v.engines[a.k].credit, v.engines[b.k].credit) })
		if v.engines[most.k].credit > 0 {
			return most.k
		}
	case "weighted":
		weights, sum := make([]float64, len(local)), 0.0
		for i, c := range local {
			free := max(slots+1-float64(c.load.Running), 0.1)
			weights[i] = free * free / math.Pow(max(c.load.Pace, 1), 2) / (1 + float64(c.load.Unread)/1000)
			sum += weights[i]
		}
		at := random.Float64() * sum
		for i, w := range weights {
			if at -= w; at < 0 {
				return local[i].k
			}
		}
	}
	return slices.MinFunc(all, func(a, b rivalCandidate) int { return cmp.Compare(a.cost, b.cost) }).k
}

func (v *rival) send(a *request, k int) int {
	e := &v.engines[k]
	e.own++
	e.sent++
	e.unread += a.prompt
	e.credit--
	a.inFlight = &rivalPlacement{engine: e, unread: a.prompt}
	return k
}

func (v *rival) subscribes(_ time.Time, k int) bool { return v.engines[k].usable }

func (v *rival) receiveReport(now time.Time, k int, r target.LoadReport) {
	e := &v.engines[k]
	e.report, e.reportedAt, e.sent = r, now, 0
	e.unknown = max(r.Running-e.own-e.others, 0)
	// The free slots are dealt to the entries of the region, the remainder in turn.
	free, n := max(v.herd.pool.Engine.Slots+1-r.Running, 0), (v.herd.entries+2)/3
	e.credit = float64(free / n)
	if (v.self/3+int(r.Serial)*5)%n < free%n {
		e.credit++
	}
}

func (v *rival) loads(time.Time) []target.EntryLoad {
	var all []target.EntryLoad
	for k, e := range v.engines {
		if e.own > 0 {
			all = append(all, target.EntryLoad{Upstream: uint64(k), Running: e.own, Unread: e.unread})
		}
	}
	return all
}

func (v *rival) receiveLoads(now time.Time, from hosts.Name, all []target.EntryLoad) {
	v.told[from], v.toldAt[from] = all, now
	for k := range v.engines {
		v.engines[k].others, v.engines[k].othersUnread = 0, 0
	}
	sum := 0
	for _, t := range v.told {
		for _, l := range t {
			v.engines[l.Upstream].others += l.Running
			v.engines[l.Upstream].othersUnread += l.Unread
			sum += l.Running
		}
	}
	// A request runs for about 1.1 s.
	v.rate = float64(sum) / 1.1
	if v.policy == "redealt" {
		v.deal()
	}
}

// BenchmarkHerd prints the figures of the policies. HERD selects shapes and policies by substring.
func BenchmarkHerd(b *testing.B) {
	const seeds = 4
	if os.Getenv("NOSLOW") != "" {
		slowPace = 1
	}
	for range b.N {
		for _, s := range herdShapes {
			for _, p := range herdPolicies {
				name := s.String() + " " + p.name
				if slices.ContainsFunc(strings.Fields(os.Getenv("HERD")), func(w string) bool { return !strings.Contains(name, w) }) {
					continue
				}
				var m herdFigures
				for seed := range uint64(seeds) {
					s.seed = seed
					f := newHerd(b, s, p.new(b)).run(10 * time.Second)
					m.inTime, m.late, m.refused = m.inTime+f.inTime/seeds, m.late+f.late/seeds, m.refused+f.refused/seeds
					m.busiest, m.spread, m.idle, m.remote = m.busiest+f.busiest/seeds, m.spread+f.spread/seeds, m.idle+f.idle/seeds, m.remote+f.remote/seeds
					m.hotInTime, m.swings = m.hotInTime+f.hotInTime/seeds, m.swings+f.swings/seeds
					m.p99, m.messages, m.bytes = m.p99+f.p99/seeds, m.messages+f.messages/seeds, m.bytes+f.bytes/seeds
				}
				fmt.Printf("%-28s %-9s intime=%.3f late=%.3f refused=%.3f p99=%4dms spread=%.2f busiest=%.2f idle=%.3f remote=%.3f swings=%.2f hot=%.3f msg/s=%.0f kB/s=%.0f\n", s, p.name,
					m.inTime, m.late, m.refused, m.p99.Milliseconds(), m.spread, m.busiest, m.idle, m.remote, m.swings, m.hotInTime, m.messages, m.bytes/1e3)
			}
		}
	}
}

var herdShapes = func() []herdShape {
	var all []herdShape
	for _, s := range []herdShape{{spec: "A", entries: 6, servers: 36}, {spec: "A", entries: 34, servers: 45}, {spec: "B", entries: 64, servers: 34}, {spec: "A", entries: 100, servers: 150}} {
		for _, load := range []float64{0.9, 1.2} {
			for _, hot := range []float64{1, 1.4} {
				s.load, s.hot = load, hot
				all = append(all, s)
			}
		}
	}
	for _, s := range []herdShape{{spec: "B", entries: 64, servers: 34}, {spec: "A", entries: 34, servers: 45}} {
		s.load, s.hot, s.step = 0.7, 1, true
		all = append(all, s)
		s.load, s.step, s.evacuated = 0.9, false, true
		all = append(all, s)
	}
	return all
}()

type herdPolicy struct {
	name string
	new  func(t testing.TB) func(h *herd, i int) chooser
}

var herdPolicies = func() []herdPolicy {
	all := []herdPolicy{{"present", func(t testing.TB) func(*herd, int) chooser {
		return newProduct(t, func(o *target.Options) { o.EvenLoad = target.EvenNever })
	}}}
	all = append(all, herdPolicy{"even", func(t testing.TB) func(*herd, int) chooser {
		return newProduct(t, func(o *target.Options) { o.EvenLoad = target.EvenAlways })
	}})
	// Half of the entries are of the previous release.
	all = append(all, herdPolicy{"mixed", func(t testing.TB) func(*herd, int) chooser {
		return func(h *herd, i int) chooser {
			return newEven(t, []target.EvenLoad{target.EvenAuto, target.EvenNever}[i/3%2])(h, i)
		}
	}})
	for _, p := range []string{"least", "preferred", "redealt", "two", "aged", "shares", "likely", "weighted", "oracle"} {
		all = append(all, herdPolicy{p, func(testing.TB) func(*herd, int) chooser { return newRival(p) }})
	}
	return all
}()
