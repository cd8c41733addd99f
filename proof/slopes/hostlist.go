package slopes

import (
	"encoding/json"
	"fmt"

	"sardinefront.dev/platform"
	"sardinefront.dev/platform/httpkv"
)

// hostListReadsPerSecond is the rate at which a host reads the platform's host
// list: once per second for its targets (setting platform.host_list_every) and
// every 10 s for its members (fleet.Config.HostListInterval).
const hostListReadsPerSecond = 1 + 0.1

func endpoints(n int) []platform.Endpoint {
	rows := make([]platform.Endpoint, n)
	for i := range rows {
		rows[i] = platform.Endpoint{
			Name: fmt.Sprintf("lyn-llm-%d", i), Role: platform.RoleTarget,
			Zone:    fmt.Sprintf("zone-%d", i%fleetZones),
			Address: fmt.Sprintf("10.%d.%d.7:8000", i/250, i%250),
			Pool:    fmt.Sprintf("model-%d", i%fleetModels), Version: "7",
		}
	}
	return rows
}

func measureHostList(Options) ([]Cost, error) {
	const all = fleetTargets + fleetHosts
	size := Cost{
		Name: "host-list-bytes", Unit: "B/s of the list that a host reads",
		SizeUnit: "rows", TargetScale: all,
		Budget: maxPeerBytesPerSecond, BudgetSource: "section 1.5",
	}
	cpu := Cost{
		Name: "host-list-part", Unit: "part of a core to decode the list",
		SizeUnit: "rows", TargetScale: all,
		Budget: maxCoreFraction, BudgetSource: "section 1.5", MachineDependent: true,
	}
	memory := Cost{
		Name: "host-list-memory", Unit: "B of the decoded list",
		SizeUnit: "rows", TargetScale: all,
		Budget: maxHostMemoryBytes, BudgetSource: "section 1.5",
	}
	for _, n := range []int{30, 300, all} {
		body, err := json.Marshal(httpkv.Response{Endpoints: endpoints(n)})
		if err != nil {
			return nil, err
		}
		decode := func() httpkv.Response {
			var r httpkv.Response
			err = json.Unmarshal(body, &r)
			return r
		}
		size.addPoint(float64(n), float64(len(body))*hostListReadsPerSecond)
		seconds, _ := timePerRun(5, func(int) { decode() })
		cpu.addPoint(float64(n), seconds*hostListReadsPerSecond)
		memory.addPoint(float64(n), retainedBytes(decode))
		if err != nil {
			return nil, err
		}
	}
	return []Cost{size, cpu, memory}, nil
}
