package level

import (
	"math"
	"time"

	"currantport.example/core/recent"
)

const (
	// shareWindow is the time constant of the shares of served requests. It covers some dozens
	// of requests of an entry.
	shareWindow = 5 * time.Second
	// leastShare is the least share of the requests of the most urgent kinds and of a workspace,
	// as a ratio of the overall share. Users require a quarter. It falls by up to
	// leastShareRange with the level, so that urgent kinds keep the larger share if only the
	// least shares are left.
	leastShare      = 0.4
	leastShareRange = 0.1
	// longShare is the least share of the long prompts of a kind, as a ratio of the kind's
	// share. Users require a half.
	longShare = 0.65
	// maxCredit bounds the requests that are exempt in succession, maxDebt those served above the
	// least share that count against later ones.
	maxCredit = 2
	maxDebt   = 3
	// maxAccounts bounds the kinds and the workspaces that are counted.
	maxAccounts = 4096
	// longQuantile is the part of the prompts that aren't long.
	longQuantile = 0.9
	// quantileStep bounds the change of the estimated longQuantile with each request, as a ratio.
	quantileStep = 0.05
)

// Shares keeps kinds, workspaces and long prompts from starving: it exempts single requests from
// the order of the levels, as many as their least shares need. It is not safe for concurrent use.
type Shares struct {
	levels     int
	all        ratio
	kinds      *recent.Map[string, *kind]
	workspaces *recent.Map[string, *account]
}

// kind is one kind of requests, by route.
type kind struct {
	account
	served ratio
	// longFrom is the estimated longQuantile of the lengths, in tokens. Longer prompts are long.
	longFrom float64
	long     account
}

// ratio is the ratio of served requests to first requests, decayed with shareWindow.
type ratio struct {
	arrived, served float64
	at              time.Time
}

func (r *ratio) decay(now time.Time) {
	if d := now.Sub(r.at); d > 0 {
		factor := math.Exp(-float64(d) / float64(shareWindow))
		r.arrived, r.served, r.at = r.arrived*factor, r.served*factor, now
	}
}

func (r *ratio) value() float64 { return min(r.served/max(r.arrived, 1), 1) }

// account holds the number of requests by which a group is below its least share, from -maxDebt to
// maxCredit.
type account struct{ credit float64 }

func (a *account) arrive(share float64) { a.credit = min(a.credit+share, maxCredit) }
func (a *account) serve()               { a.credit = max(a.credit-1, -maxDebt) }
func (a *account) isShort() bool        { return a.credit >= 1 }

// NewShares returns shares without counts.
func NewShares(levels int) *Shares {
	return &Shares{levels: levels, kinds: recent.New[string, *kind](maxAccounts), workspaces: recent.New[string, *account](maxAccounts)}
}

func (s *Shares) groups(r Request) (*kind, *account) {
	k, ok := s.kinds.Get(r.Kind)
	if !ok {
		k = &kind{longFrom: float64(r.Prompt)}
		s.kinds.Put(r.Kind, k)
	}
	w, ok := s.workspaces.Get(r.Workspace)
	if !ok {
		w = &account{}
		s.workspaces.Put(r.Workspace, w)
	}
	return k, w
}

// Arrive counts a request and reports whether it is exempt from the order of the levels.
func (s *Shares) Arrive(now time.Time, r Request) bool {
	k, w := s.groups(r)
	isLong := float64(r.Prompt) > k.longFrom
	if !r.Returned && !r.Further {
		s.all.decay(now)
		k.served.decay(now)
		s.all.arrived++
		k.served.arrived++
		k.arrive((leastShare - leastShareRange*float64(r.Level)/float64(s.levels)) * s.all.value())
		w.arrive(leastShare * s.all.value())
		if isLong {
			k.long.arrive(longShare * k.served.value())
			k.longFrom *= 1 + quantileStep*longQuantile
		} else {
			k.longFrom *= 1 - quantileStep*(1-longQuantile)
		}
	}
	return k.isShort() || w.isShort() || isLong && k.long.isShort()
}

// Serve counts a request that was placed.
func (s *Shares) Serve(now time.Time, r Request) {
	if r.Further {
		return
	}
	k, w := s.groups(r)
	s.all.decay(now)
	k.served.decay(now)
	s.all.served++
	k.served.served++
	k.serve()
	w.serve()
	if float64(r.Prompt) > k.longFrom {
		k.long.serve()
	}
}
