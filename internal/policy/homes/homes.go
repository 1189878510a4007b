// Package homes decides which availability zones may run a request that is bound to regions, its
// homes. It performs no input or output.
package homes

import "slices"

// Zones returns the zones whose servers may run a request: those in regions that every binding list
// names. A list without regions does not bind. The result is nil if no list binds, so that any zone may;
// it is empty if none may. A zone whose region is not known is in no home.
func Zones(regions map[string]string, lists ...[]string) map[string]bool {
	lists = slices.DeleteFunc(slices.Clone(lists), func(l []string) bool { return len(l) == 0 })
	if len(lists) == 0 {
		return nil
	}
	out := map[string]bool{}
	for zone, region := range regions {
		if region != "" && !slices.ContainsFunc(lists, func(l []string) bool { return !slices.Contains(l, region) }) {
			out[zone] = true
		}
	}
	return out
}
