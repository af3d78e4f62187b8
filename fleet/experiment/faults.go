package experiment

// targetSet is a set of the kinds of targets that a fault can have. It is empty for a fault of the whole run.
type targetSet uint8

const (
	atPartners targetSet = 1 << iota
	atNodes
	atReplicas // replicas of the directory; with Fault.StepInterval, one after the other
)

// FaultKind describes a kind of fault and what it targets. In a description, "size" is the setting of the fault
// (Fault.Size).
type FaultKind struct {
	Description string
	targets     targetSet
}

// FaultKinds holds the kinds of faults by name.
var FaultKinds = map[string]FaultKind{
	"slow":          {"partners take size times as long to serve a call", atPartners},
	"lossy":         {"partners lose a share (size) of their answers, after the messages ran", atPartners},
	"failing":       {"partners answer a share (size) of the calls with an error; the messages of half of these run", atPartners},
	"shut":          {"partners reject all calls", atPartners},
	"silent":        {"partners accept calls and answer none; the messages of a share (size) of the calls run", atPartners},
	"down":          {"connections to partners are reset, and new ones are refused", atPartners},
	"limit":         {"the rate limits of partners are reduced to a share (size)", atPartners},
	"replace":       {"each partner's endpoints are replaced one after the other: a new one is added, the old one drains for size seconds (at least 1.5) and is deleted", atPartners},
	"late-list":     {"discovery informs the nodes size seconds later than usual", atNodes},
	"silent-list":   {"discovery sends nothing to the nodes", atNodes},
	"move":          {"nodes are told by SIGHUP to use another address for discovery", atNodes},
	"burst":         {"the traffic is size times as high", 0},
	"kill":          {"nodes are killed, and start again at the end of the fault", atNodes},
	"restart":       {"nodes get SIGTERM, are killed if they still run 3.7 s later, and start again", atNodes},
	"stop":          {"nodes are stopped (SIGSTOP) until the end of the fault", atNodes},
	"cut":           {"no data passes between nodes and partners", atNodes | atPartners},
	"delay":         {"data between nodes and partners takes size milliseconds longer in each direction", atNodes | atPartners},
	"loss":          {"a share (size) of the data between nodes and partners is lost and sent again 200 ms later", atNodes | atPartners},
	"reset":         {"the connections between nodes and partners are reset once", atNodes | atPartners},
	"swallow":       {"calls reach the partners, but on a share (size) of the connections no answers come back; at the end of the fault the connections are reset", atNodes | atPartners},
	"rate":          {"each connection between nodes and partners carries at most size kilobytes a second in each direction", atNodes | atPartners},
	"replica-kill":  {"replicas of the directory are killed, and start again at the end of the fault", atReplicas},
	"replica-cut":   {"no data passes to or from replicas of the directory", atReplicas},
	"replica-stop":  {"replicas of the directory are stopped (SIGSTOP) until the end of the fault", atReplicas},
	"clock-step":    {"the wall clocks of nodes are stepped by size seconds, back if it is negative", atNodes},
	"hold-up":       {"nodes are held up (SIGSTOP) for at most size milliseconds, several times a second", atNodes},
	"crowd":         {"size clients a second connect to each node, and send nothing or a part of a request", atNodes},
	"signals":       {"nodes get SIGHUP and SIGTERM several times, are killed 3.7 s after the first SIGTERM, and start again", atNodes},
	"folder-errors": {"a share (size) of the nodes' writes, truncations and renames in their state directories fails, some after half of the bytes", atNodes},
	"socket-errors": {"a share (size) of the nodes' accept, socket and connect calls fails", atNodes},
	"disk-full":     {"nodes can write no more data to their state directories", atNodes},
}
