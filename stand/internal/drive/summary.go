package drive

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"

	"currantport.example/core/calls"
	"currantport.example/stand/internal/store"
)

// summarize prints the result and returns an error that names each failed check.
func (d *driver) summarize(ctx context.Context, first, last rolloutResult, s *sampler) error {
	c := d.clients
	c.mutex.Lock()
	defer c.mutex.Unlock()
	fmt.Printf("summary=rollout version=one hosts=%d time=%s copies=%.3f\n", first.hosts, first.duration, float64(first.externalBytes)/float64(d.firstBytes))
	fmt.Printf("summary=rollout version=three hosts=%d time=%s outside=%dB\n", last.hosts, last.duration, last.externalBytes)
	fmt.Printf("summary=requests answered=%d notrun=%d unknown=%d reasons=%v versions=%v\n",
		c.outcomes[calls.OutcomeAnswered], c.outcomes[calls.OutcomeNotRun], c.outcomes[calls.OutcomeUnknown], c.reasons, c.versions)
	fmt.Printf("summary=steady least=%.2f outcomes=%v\n", s.lowest, c.steadyOutcomes)
	checks := []struct {
		name string
		err  error
	}{
		{"answers", c.check()},
		{"weights", d.checkWeights(ctx, "three")},
		{"once", d.checkRuns(ctx)},
		{"ready", s.check(c.steadyOutcomes)},
	}
	var failed error
	for _, k := range checks {
		fmt.Printf("check=%s ok=%t\n", k.name, k.err == nil)
		if k.err != nil {
			failed = errors.Join(failed, fmt.Errorf("%s: %w", k.name, k.err))
		}
	}
	return failed
}

func (c *clients) check() error {
	if len(c.failures) > 0 {
		return fmt.Errorf("%d wrong responses, the first: %s", len(c.failures), c.failures[0])
	}
	if c.versions["one"] == 0 || c.versions["three"] == 0 {
		return errors.New("a version was never served")
	}
	return nil
}

// checkWeights compares the files on every engine with the source.
func (d *driver) checkWeights(ctx context.Context, version string) error {
	want, err := treeDigests(d.trees[version])
	if err != nil {
		return err
	}
	for _, h := range d.plan.Hosts {
		if h.Kind != "engine" {
			continue
		}
		got := make(map[string]string)
		if err := d.getJSON(ctx, d.urlOf(h.Upstream, "/v1/digests"), &got); err != nil {
			return err
		}
		if len(got) != len(want) {
			return fmt.Errorf("host %s holds %d of %d files", h.Name, len(got), len(want))
		}
		for p, digest := range want {
			if got[p] != digest {
				return fmt.Errorf("host %s: file %s differs from the source", h.Name, p)
			}
		}
	}
	return nil
}

// checkRuns checks over all upstreams that no key ran twice.
func (d *driver) checkRuns(ctx context.Context) error {
	runs := make(map[string]int)
	for _, h := range d.plan.Hosts {
		if h.Kind == "" {
			continue
		}
		counts := make(map[string]int)
		if err := d.getJSON(ctx, d.urlOf(h.Upstream, "/v1/runs"), &counts); err != nil {
			return err
		}
		for key, n := range counts {
			runs[key] += n
		}
	}
	ran := 0
	for _, key := range d.clients.keys {
		if runs[key] > 1 {
			return fmt.Errorf("key %s ran %d times", key, runs[key])
		}
		ran += runs[key]
	}
	if ran == 0 {
		return errors.New("no booking ran")
	}
	return nil
}

func treeDigests(path string) (map[string]string, error) {
	tree, err := store.Open(path)
	if err != nil {
		return nil, err
	}
	digests := make(map[string]string)
	err = fs.WalkDir(tree, ".", func(p string, e fs.DirEntry, err error) error {
		if err != nil || !e.Type().IsRegular() {
			return err
		}
		digests[p], err = fileDigest(tree, p)
		return err
	})
	return digests, err
}

func fileDigest(tree fs.FS, path string) (string, error) {
	f, err := tree.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", err
	}
	return hex.EncodeToString(h.Sum(nil)), nil
}
