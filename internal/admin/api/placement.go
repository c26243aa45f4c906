package api

// Placement describes the placement of models on engines for each zone.
type Placement struct {
	Zones []PlacementZone `json:"zones"`
}

// PlacementZone is the state reported by the VM that orders a zone's engines.
type PlacementZone struct {
	Zone string `json:"zone"`
	// VM is the VM that orders the zone's engines, or that will take over this role.
	VM string `json:"vm"`
	// State is "off", "unreachable", "no_right", "cut_off", "waiting" or "ordering".
	State string `json:"state"`
	// Fencing is the fencing number of the VM's orders; 0 if it has no right to order engines.
	Fencing uint64 `json:"fencing,omitempty"`
	// LoadsUnderWay is the number of load permits held in the fleet, as last received by the VM.
	LoadsUnderWay int               `json:"loads_under_way"`
	Targets       []PlacementTarget `json:"targets,omitempty"`
	Orders        []PlacementOrder  `json:"orders,omitempty"`
	// Results are the most recently ended orders, oldest first.
	Results []PlacementOrder `json:"results,omitempty"`
}

// PlacementTarget is the target of one model in the plan in force.
type PlacementTarget struct {
	Model string `json:"model"`
	// Replicas is the number of replicas in all zones, including loads in progress; Wanted is the
	// target number.
	Replicas int `json:"replicas"`
	Wanted   int `json:"wanted"`
	// Calls is the number of calls in all zones that are running, are queued or found no replica.
	Calls int `json:"calls"`
}

// PlacementOrder is an order to an engine to load or unload models.
type PlacementOrder struct {
	ID     string   `json:"id"`
	Engine string   `json:"engine"`
	Unload []string `json:"unload,omitempty"`
	Load   string   `json:"load"`
	// State is the step that an order waits for, or its result once it has ended.
	State string `json:"state"`
}
