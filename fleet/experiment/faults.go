package experiment

// What a fault is aimed at.
type target uint8

const (
	atPartners target = 1 << iota
	atNodes
	atReplicas // all of the directory's, one after the other with a step
)

// FaultKind is what a kind of fault does, and what it is aimed at.
type FaultKind struct {
	About string
	aim   target
}

// FaultKinds are the kinds of faults, by their names.
var FaultKinds = map[string]FaultKind{
	"slow":         {"partners serve size times slower", atPartners},
	"lossy":        {"partners lose the share size of their answers, after the messages ran", atPartners},
	"failing":      {"partners answer the share size with an error", atPartners},
	"shut":         {"partners turn everything away", atPartners},
	"silent":       {"partners take calls and answer none; the share size of the messages runs", atPartners},
	"down":         {"partners' connections are reset and new ones refused", atPartners},
	"limit":        {"partners' limits are the share size of what they were", atPartners},
	"replace":      {"partners' endpoints drain, one each step, go after size seconds, and new ones come", atPartners},
	"late-list":    {"what discovery tells the nodes comes size seconds later still", atNodes},
	"silent-list":  {"discovery tells the nodes nothing", atNodes},
	"move":         {"the nodes are told by SIGHUP to go to another address of discovery", atNodes},
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
	"disk-full":    {"nodes can write nothing more to their lasting folders", atNodes},
}
