package experiment

// What a fault is aimed at.
type target uint8

const (
	atPartners target = 1 << iota
	atNodes
	atReplicas // all of the directory's, one after the other with a step
)

// FaultKinds names the kinds of faults, and tells of each what it does.
var FaultKinds = map[string]string{
	"slow":         "partners serve size times slower",
	"lossy":        "partners lose the share size of their answers, after the messages ran",
	"failing":      "partners answer the share size with an error",
	"shut":         "partners turn everything away",
	"silent":       "partners take calls and answer none; the share size of the messages runs",
	"down":         "partners' connections are reset and new ones refused",
	"limit":        "partners' limits are the share size of what they were",
	"replace":      "partners' endpoints drain, one each step, go after size seconds, and new ones come",
	"late-list":    "what discovery tells the nodes comes size seconds later still",
	"silent-list":  "discovery tells the nodes nothing",
	"move":         "the nodes are told by SIGHUP to go to another address of discovery",
	"burst":        "size times the traffic",
	"kill":         "nodes are killed, and start again at the fault's end",
	"restart":      "nodes get SIGTERM, are killed 3.7 s later if need be, and start again",
	"stop":         "nodes are stopped (SIGSTOP) until the fault's end",
	"cut":          "nothing passes between nodes and partners",
	"delay":        "what passes between nodes and partners takes size milliseconds longer each way",
	"loss":         "the share size of what passes between nodes and partners is lost and sent again 200 ms later",
	"reset":        "the connections between nodes and partners are reset once",
	"swallow":      "calls reach the partners, and the share size of the answers is swallowed until the fault's end, then reset",
	"rate":         "at most size kilobytes a second pass on each connection between nodes and partners",
	"replica-kill": "replicas of the directory are killed, and start again at the fault's end",
	"replica-cut":  "nothing passes to and from replicas of the directory",
	"replica-stop": "replicas of the directory are stopped (SIGSTOP) until the fault's end",
	"disk-full":    "nodes can write nothing more to their lasting folders",
}

var targets = map[string]target{
	"slow": atPartners, "lossy": atPartners, "failing": atPartners, "shut": atPartners, "silent": atPartners, "down": atPartners,
	"limit": atPartners, "replace": atPartners, "late-list": atNodes, "silent-list": atNodes, "move": atNodes, "burst": 0,
	"kill": atNodes, "restart": atNodes, "stop": atNodes, "cut": atNodes | atPartners, "delay": atNodes | atPartners,
	"loss": atNodes | atPartners, "reset": atNodes | atPartners, "swallow": atNodes | atPartners, "rate": atNodes | atPartners,
	"disk-full": atNodes, "replica-kill": atReplicas, "replica-cut": atReplicas, "replica-stop": atReplicas,
}
