package state

import (
	"cmp"
	"slices"
	"strings"
)

// hostRoutes are the routes of one host name, sorted by descending prefix length, then
// by prefix.
type hostRoutes []*Route

func indexRoutes(routes map[string]*Route) map[string]hostRoutes {
	index := make(map[string]hostRoutes)
	for _, r := range routes {
		index[r.Host] = append(index[r.Host], r)
	}
	for _, all := range index {
		slices.SortFunc(all, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Prefix, b.Prefix))
		})
	}
	return index
}

// find returns the route with the longest prefix of the path, or nil. It searches each
// run of equally long prefixes by bisection.
func (h hostRoutes) find(path string) *Route {
	for at := 0; at < len(h); {
		length := len(h[at].Prefix)
		end := at + 1
		for end < len(h) && len(h[end].Prefix) == length {
			end++
		}
		if length <= len(path) {
			i, ok := slices.BinarySearchFunc(h[at:end], path[:length], func(r *Route, p string) int { return cmp.Compare(r.Prefix, p) })
			if ok {
				return h[at+i]
			}
		}
		at = end
	}
	return nil
}

// Match returns the route of a request, or nil. The path is as the client sent it,
// without the query. If no route matches the host with its port, the port is ignored.
func (s *Snapshot) Match(host, path string) *Route {
	if r := s.routes[host].find(path); r != nil {
		return r
	}
	name, _, ok := strings.Cut(host, ":")
	if !ok {
		return nil
	}
	return s.routes[name].find(path)
}
