package records

// Machine is a machine that may run tasks. Many machines share a value (PagedRecords).
type Machine struct {
	Addr        string `json:"addr"`
	Type        string `json:"rig"`
	Zone        string `json:"site"`
	Spot        bool   `json:"loaners"`
	Incarnation uint64 `json:"stint"`
}

// MachineType is a type of machine that the cloud offers.
type MachineType struct {
	Name      string   `json:"label"`
	CPUs      float64  `json:"vcpus"`
	GPUs      float64  `json:"gpus"`
	MemGB     float64  `json:"mem_gb"`
	CacheGB   float64  `json:"local_gb"`
	FetchGBps float64  `json:"pull_gb_per_s"`
	Price     float64  `json:"hourly"`
	SpotPrice float64  `json:"low_price"`
	StartupS  float64  `json:"startup_s"`
	Zones     []string `json:"sites"`
}

// MachineTypes is the list of machine types last read from the cloud.
type MachineTypes struct {
	Types []MachineType `json:"rigs"`
}
