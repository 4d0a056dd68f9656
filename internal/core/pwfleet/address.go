package pwfleet

import "slices"

// addAddress adds a server to byAddress.
func (f *Fleet) addAddress(s *server) {
	f.byAddress[s.info.Address] = append(f.byAddress[s.info.Address], s)
	f.markSuperseded(s.info.Address)
}

// removeAddress removes a server from byAddress.
func (f *Fleet) removeAddress(s *server) {
	address := s.info.Address
	s.superseded = false
	f.byAddress[address] = slices.DeleteFunc(f.byAddress[address], func(other *server) bool { return other == s })
	if len(f.byAddress[address]) == 0 {
		delete(f.byAddress, address)
	}
	f.markSuperseded(address)
}

// markSuperseded marks the servers at an address that have ended: only the one that has
// started last can be running. Entries of services that are not configured, and of servers
// that are known not to be at the address, may come from another writer and don't count.
func (f *Fleet) markSuperseded(address string) {
	latest := int64(0)
	for _, s := range f.byAddress[address] {
		if f.isConfigured(s.info.Service) && !s.replaced {
			latest = max(latest, s.info.StartUnixMS)
		}
	}
	for _, s := range f.byAddress[address] {
		s.superseded = s.info.StartUnixMS != 0 && s.info.StartUnixMS < latest
	}
}

// isConfigured reports whether the configuration names a service. Without a configuration,
// each service counts.
func (f *Fleet) isConfigured(service string) bool {
	_, ok := f.coldRate[service]
	return ok || len(f.coldRate) == 0
}
