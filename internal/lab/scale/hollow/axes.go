package hollow

import "starlingusher/internal/lab/scale/play"

// Axes are the axes that hollow nodes play.
func Axes() []play.Axis {
	return []play.Axis{destinationsAxis(), moduleAxis(), nodesAxis(), changesAxis(), togetherAxis(), ownedAxis(), directoryAxis()}
}

// quickSetting shortens all waits of an axis, for runs that expect bytes and counts and fit nothing.
var quickSetting = play.Setting{Default: 0, Min: 0, Max: 1, Description: "1: as short as it goes; bytes and counts are as exact, times and memory are rough"}

// endpointsSetting is the list of those axes in which it stays as it is: a node's share of 646,000 endpoints with three owners each.
var endpointsSetting = play.Setting{Default: 2364, Min: 1, Max: 50_000, Description: "endpoints of the list"}
