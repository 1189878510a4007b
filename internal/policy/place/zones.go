package place

import "slices"

// mayUse reports whether r may run in the zone of a server.
func (r Request) mayUse(s *serverState) bool { return r.Zones == nil || r.Zones[s.Zone] }

// usable returns the servers of list that are in a zone where r may run.
func (r Request) usable(list []*serverState) []*serverState {
	if r.Zones == nil {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(s *serverState) bool { return !r.mayUse(s) })
}

// HasOther reports whether r may run at another server than the one with the given ID, and those in
// exclude.
func (b *ServerTable) HasOther(r Request, id string, exclude []string) bool {
	return slices.ContainsFunc(b.ranked, func(s *serverState) bool {
		return s.ID != id && r.mayUse(s) && !slices.Contains(exclude, s.ID)
	})
}
