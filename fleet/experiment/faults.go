package experiment

// target is a set of kinds of targets that a fault can have.
type targetSet uint8

const (
	atPartners targetSet = 1 << iota
	atNodes
	atReplicas // replicas of the directory; with a step, one after the other
)

// FaultKind describes a kind of fault and what it targets.
type FaultKind struct {
	Description string
	targets     targetSet
}

// FaultKinds holds the kinds of faults by name.
var FaultKinds = map[string]FaultKind{
	"slow":         {"partners serve size times slower", atPartners},
	"lossy":        {"partners lose the share size of their answers, after the messages ran", atPartners},
	"failing":      {"partners answer the share size with an error", atPartners},
	"shut":         {"partners refuse all calls", atPartners},
	"silent":       {"partners accept calls and answer none; the share size of the messages runs", atPartners},
	"down":         {"partners' connections are reset and new ones refused", atPartners},
	"limit":        {"partners' rate limits are reduced to the share size", atPartners},
	"replace":      {"partners' endpoints drain, one each step, are deleted after size seconds, and new ones are added", atPartners},
	"late-list":    {"discovery informs the nodes size seconds later than usual", atNodes},
	"silent-list":  {"discovery sends the nodes nothing", atNodes},
	"move":         {"nodes are told by SIGHUP to use another address of discovery", atNodes},
	"burst":        {"size times the traffic", 0},
	"kill":         {"nodes are killed, and start again at the fault's end", atNodes},
	"restart":      {"nodes get SIGTERM, are killed 3.7 s later if need be, and start again", atNodes},
	"stop":         {"nodes are stopped (SIGSTOP) until the fault's end", atNodes},
	"cut":          {"nothing passes between nodes and partners", atNodes | atPartners},
	"delay":        {"what passes between nodes and partners takes size milliseconds longer each way", atNodes | atPartners},
	"loss":         {"the share size of what passes between nodes and partners is lost and sent again 200 ms later", atNodes | atPartners},
	"reset":        {"the connections between nodes and partners are reset once", atNodes | atPartners},
	"swallow":      {"calls reach the partners, and the share size of the answers is swallowed until the fault's end, then reset", atNodes | atPartners},
	"rate":         {"at most size kilobytes a second pass on each connection between nodes and partners", atNodes | atPartners},
	"replica-kill": {"replicas of the directory are killed, and start again at the fault's end", atReplicas},
	"replica-cut":  {"nothing passes to and from replicas of the directory", atReplicas},
	"replica-stop": {"replicas of the directory are stopped (SIGSTOP) until the fault's end", atReplicas},
	"disk-full":    {"nodes can write nothing more to their state directories", atNodes},
}
