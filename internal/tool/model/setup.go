package model

// Mutation omits one rule of the product, to show that the exploration detects its absence.
type Mutation int

// The mutations.
const (
	None                  Mutation = iota
	RefusalIsProof                 // a refusal after an unanswered start counts for both requests
	UnansweredIsLost               // an unanswered start counts as not executed
	SameFence                      // the next owner has the same fence as the previous one
	SilenceEndsRuns                // runs on a silent endpoint count as ended at once
	JobAgeFromRead                 // a job's age counts from when it is read
	KeepaliveAgeFromRead           // a keepalive's age counts from when it is read
	LeaseIgnoresKeepalive          // requested leases ignore keepalives
	StaleKeepaliveStarts           // tasks start after a keepalive of any age
	RestartKeepsFence              // orders to a restarted endpoint carry the fence of those before
)

// Setup selects the VM that answers the job's caller.
type Setup int

// The setups.
const (
	CallerAtOwner Setup = iota // the VM that runs the job
	CallerAtEntry              // an entry VM, which forwards the job
	// Restarts has the caller at the owner, too. Endpoints restart under their IDs and forget the fence, so that the VM
	// must notice that its caller has left; in the other setups the fence alone protects the job.
	Restarts
	// UnseenRestarts has the caller at the owner, too, and a long task. Once an endpoint may restart just before a request
	// and be cut off after it, with or without an answer. No VM fails.
	UnseenRestarts
	// UnseenRestartsAtEntry is the same with the caller at an entry VM, and VMs that fail.
	UnseenRestartsAtEntry
)
