package api

// Placement says how models are placed on engines, zone by zone.
type Placement struct {
	Zones []PlacementZone `json:"zones"`
}

// PlacementZone is what the VM that orders a zone's engines says.
type PlacementZone struct {
	Zone string `json:"zone"`
	// VM orders the zone's engines, or is the one to take that over.
	VM string `json:"vm"`
	// State is "off", "unreachable", "no_right", "cut_off", "waiting" or "ordering".
	State string `json:"state"`
	// Fencing is the number of the VM's orders; 0: it has no right to give any.
	Fencing uint64 `json:"fencing,omitempty"`
	// LoadsUnderWay are the load permits held in the fleet as the VM last heard.
	LoadsUnderWay int               `json:"loads_under_way"`
	Targets       []PlacementTarget `json:"targets,omitempty"`
	Orders        []PlacementOrder  `json:"orders,omitempty"`
	// Results are the last ends of orders, oldest first.
	Results []PlacementOrder `json:"results,omitempty"`
}

// PlacementTarget is a model in the plan in force.
type PlacementTarget struct {
	Model string `json:"model"`
	// Replicas are those in all zones, loads under way included, and Wanted those that are wanted.
	Replicas int `json:"replicas"`
	Wanted   int `json:"wanted"`
	// Calls are under way, wait, or found no replica, in all zones.
	Calls int `json:"calls"`
}

// PlacementOrder is one change of an engine.
type PlacementOrder struct {
	ID     string   `json:"id"`
	Engine string   `json:"engine"`
	Unload []string `json:"unload,omitempty"`
	Load   string   `json:"load"`
	// State is what an order waits for, or how it ended.
	State string `json:"state"`
}
