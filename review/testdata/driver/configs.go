package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

// runConfigs: after many changes of the configuration, core machines lose their disks one after the other, each after the one
// before has had time to catch up. The configuration is read back.
func runConfigs(s *scene) (bool, error) {
	const changes = 1300
	r, err := s.fleet.newReplica("i-1", "models", zones[0], 101)
	if err != nil {
		return false, err
	}
	defer r.close()
	call := route("call", "/call/", "idempotent", "models", nil)
	if err := s.begin(config(1, call), r); err != nil {
		return false, err
	}
	core := s.fleet.class("core")
	put := func(version int) bool {
		data, err := json.Marshal(config(version, call))
		if err != nil {
			return false
		}
		for range 40 {
			for _, c := range core {
				if status, _ := plain(http.MethodPut, "http://"+c.address(controlPort)+wireName("calls")+"config", data, time.Second); status == http.StatusOK {
					return true
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		return false
	}
	version := 1
	for range changes {
		version++
		if !put(version) {
			return false, errors.New("a configuration was not acknowledged")
		}
	}
	s.rec.line("operator: %d configurations acknowledged", changes)
	old := 0
	for round := range 3 {
		if s.trouble {
			m := core[round]
			m.kill()
			if err := m.wipe(); err != nil {
				return false, err
			}
			time.Sleep(time.Second)
			if err := m.start(false); err != nil {
				return false, err
			}
		}
		time.Sleep(6 * time.Second)
		version++
		if !put(version) {
			s.rec.line("operator: configuration %d was not acknowledged", version)
		}
		time.Sleep(2 * time.Second)
		for _, c := range core {
			status, data := plain(http.MethodGet, "http://"+c.address(controlPort)+wireName("calls")+"config", nil, time.Second)
			var got struct{ Version int }
			_ = json.Unmarshal(data, &got)
			s.rec.line("operator: %s answers %d, version %d; %d was acknowledged", c.name, status, got.Version, version)
			if status != http.StatusOK || got.Version < version {
				old++
			}
		}
	}
	return old > 0, nil
}
