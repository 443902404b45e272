package dedup_test

import (
	"testing"

	"currantport.example/core/calls"
	"currantport.example/core/dedup"
	"currantport.example/core/hosts"
)

// FuzzKeys checks that a key or a token has one text form and that every key has an
// owner.
func FuzzKeys(f *testing.F) {
	f.Add("m1:a:one:1:nonce", "one.7")
	f.Add("m1:a:one:01:nonce", "one.07")
	f.Add("0190163d-8694-739b-aea5-966c26f8ad91", ".")
	f.Add("m1:::0:", "")
	f.Fuzz(func(t *testing.T, key, token string) {
		if m, ok := dedup.ParseMinted(calls.Key(key)); ok && string(m.Key()) != key {
			t.Errorf("key %q parsed to %q", key, m.Key())
		}
		if o := dedup.OwnerOf(calls.Key(key), []hosts.Name{"a", "b"}); o.Host == "" {
			t.Errorf("key %q has no owner", key)
		}
		if k := dedup.ParseToken(token); k != dedup.ParseToken(k.String()) {
			t.Errorf("token %q parsed to %q", token, k)
		}
		dedup.TimestampOf(calls.Key(key))
	})
}
