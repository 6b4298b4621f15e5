package frame

// Demand tells what arrives at a VM and how much room it has, for ranks 0, 1 and all later ones. With compact integers it
// takes 40 bytes or less in a heartbeat.
type Demand struct {
	Rates  []uint32 `msgpack:"r,omitempty"` // core-seconds a second of jobs that callers submit
	Cores  uint32   `msgpack:"c,omitempty"` // that tasks can fill; 0 if the sender owns no endpoints
	Places []uint32 `msgpack:"p,omitempty"` // tasks of usual size that could start now
	Waits  []uint32 `msgpack:"w,omitempty"` // of a usual job, in milliseconds
}

// Shared states the cores of a pool at an owner, and their use by the ranks that have a share.
type Shared struct {
	Pool  string    `msgpack:"p"`
	Cores float32   `msgpack:"c"`
	Ranks []RankUse `msgpack:"r,omitempty"`
}

// RankUse is the number of cores that a rank holds at an owner, and that its waiting tasks need.
type RankUse struct {
	Rank    int     `msgpack:"r"`
	Used    float32 `msgpack:"u,omitempty"`
	Waiting float32 `msgpack:"w,omitempty"`
}
