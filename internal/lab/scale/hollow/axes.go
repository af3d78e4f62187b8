package hollow

import "starlingusher/internal/lab/scale/play"

// Axes returns the axes that are played with hollow nodes.
func Axes() []play.Axis {
	return []play.Axis{destinationsAxis(), moduleAxis(), nodesAxis(), changesAxis(), togetherAxis(), ownedAxis(), directoryAxis()}
}

// quickSetting shortens all waits of an axis, for runs that check exact figures and fit nothing.
var quickSetting = play.Setting{Default: 0, Min: 0, Max: 1, Description: "1: all waits as short as possible; bytes and counts stay exact, times and memory are rough"}

// endpointsSetting is the list's length on axes that do not grow it. By default it is a node's share of
// 646,000 endpoints, each with three owners.
var endpointsSetting = play.Setting{Default: 2364, Min: 1, Max: 50_000, Description: "endpoints in the list"}
