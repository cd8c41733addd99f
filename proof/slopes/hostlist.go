package slopes

import (
	"encoding/json"
	"fmt"

	"sardinefront.dev/platform"
	"sardinefront.dev/platform/httpkv"
)

// hostListReads is how often a host reads the platform's list per second: once
// for its targets (host/settings, platform.host_list_every) and every 10 s for
// its members (fleet.Config.HostsEvery).
const hostListReads = 1 + 0.1

func hostRows(n int) []platform.Endpoint {
	rows := make([]platform.Endpoint, n)
	for i := range rows {
		rows[i] = platform.Endpoint{Name: fmt.Sprintf("lyn-llm-%d", i), Role: platform.RoleTarget, Zone: fmt.Sprintf("zone-%d", i%zones),
			Address: fmt.Sprintf("10.%d.%d.7:8000", i/250, i%250), Pool: fmt.Sprintf("model-%d", i%models), Version: "7"}
	}
	return rows
}

func measureHostList(Options) ([]Cost, error) {
	const all = targets + hosts
	size := Cost{Name: "host-list-bytes", Unit: "B/s of the list that a host reads", Over: "rows", Target: all,
		Budget: peerBytes, Source: "section 1.5"}
	part := Cost{Name: "host-list-part", Unit: "part of a core to decode the list", Over: "rows", Target: all,
		Budget: corePart, Source: "section 1.5", Clock: true}
	memory := Cost{Name: "host-list-memory", Unit: "B of the decoded list", Over: "rows", Target: all,
		Budget: hostMemory, Source: "section 1.5"}
	for _, n := range []int{30, 300, all} {
		body, err := json.Marshal(httpkv.Response{Endpoints: hostRows(n)})
		if err != nil {
			return nil, err
		}
		decode := func() httpkv.Response {
			var r httpkv.Response
			err = json.Unmarshal(body, &r)
			return r
		}
		size.add(float64(n), float64(len(body))*hostListReads)
		seconds, _ := timed(5, func(int) { decode() })
		part.add(float64(n), seconds*hostListReads)
		memory.add(float64(n), held(decode))
		if err != nil {
			return nil, err
		}
	}
	return []Cost{size, part, memory}, nil
}
