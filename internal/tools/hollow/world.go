package hollow

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"yardwharf/internal/service/agent"
	"yardwharf/internal/service/configuration"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/view"
)

// zoneName returns the zone of the machine with a number.
func zoneName(machine int) string {
	return fmt.Sprintf("region-%d-zone-%02d", machine%zones%regions, machine%zones)
}

// regionOf returns the region of the machine with a number.
func regionOf(machine int) int { return machine % zones % regions }

// identityOf returns the identity of a process.
func identityOf(role string, machine, offset int) protocol.Identity {
	ip := fmt.Sprintf("10.%d.%d.%d", machine%zones, machine/zones/250, machine/zones%250+1)
	return protocol.Identity{
		Node: fmt.Sprintf("edge-zone-%02d-%04d", machine%zones, machine/zones), Role: role, Zone: zoneName(machine),
		Address: protocol.InternalAddress(ip, 7780, offset), Incarnation: 1_790_000_000_000_000 + uint64(machine),
	}
}

func agentIdentity(machine int) protocol.Identity {
	return identityOf(agent.Role, machine, protocol.AgentPort)
}

func controlIdentity(machine int) protocol.Identity {
	identity := identityOf("control", machine, protocol.ControlPort)
	identity.Node = fmt.Sprintf("core-zone-%02d-%d", machine%zones, machine/zones)
	return identity
}

// destinations returns the platform's list, of which the share that is down
// drains.
func destinations(count int, random *rand.Rand) []view.Sender {
	list := make([]view.Sender, count)
	services := max(1, count/destinationsPerRoute)
	for i := range list {
		list[i] = view.Sender{
			ID: fmt.Sprintf("i-%08x", i), Service: fmt.Sprintf("service-%04d", i%services),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", 64+i>>16, i>>8&255, i&255), Zone: zoneName(i),
			Revision: "v1", Slots: 6, Draining: random.Float64() < downShare,
		}
	}
	return list
}

// flipped returns a copy of a list in which some entries have gone down or have
// come back.
func flipped(list []view.Sender, count int, random *rand.Rand) []view.Sender {
	next := append([]view.Sender(nil), list...)
	for range count {
		i := random.IntN(len(next))
		next[i].Draining = !next[i].Draining
	}
	return next
}

// configurationPayload returns what control members distribute: the operator's
// configuration with all stores and members.
func configurationPayload(size Size, sequence uint64, revision int64, raw []byte) view.Configuration {
	payload := view.Configuration{Sequence: sequence, Revision: revision, Raw: raw}
	for i := range size.Stores() {
		identity := identityOf("store", i, protocol.StorePort)
		payload.Stores = append(payload.Stores, view.Node{
			Name: identity.Node, Zone: identity.Zone, Address: identity.Address, StoreID: "0123456789abcdef",
		})
	}
	for i := range controlMembers {
		identity := controlIdentity(i)
		payload.Members = append(payload.Members, view.Node{Name: identity.Node, Zone: identity.Zone, Address: identity.Address})
	}
	return payload
}

// configurationDocument has the form of the operator's configuration.
type configurationDocument struct {
	Revision int64                   `json:"revision"`
	Routes   []configuration.Route   `json:"routes"`
	Services []configuration.Service `json:"services"`
	Limits   configuration.Limits    `json:"limits"`
}

// rawConfiguration returns an operator's configuration with so many routes.
func rawConfiguration(revision int64, routes int) []byte {
	document := configurationDocument{Revision: revision, Limits: configuration.Limits{
		MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 2000, IdleTimeoutMs: 30000,
	}}
	for i := range routes {
		service := fmt.Sprintf("service-%04d", i)
		document.Services = append(document.Services, configuration.Service{
			Name: service, HealthCheck: "/healthz", MaxConns: 110, Protocol: "http1",
		})
		document.Routes = append(document.Routes, configuration.Route{
			Name: fmt.Sprintf("route-%04d", i), Hostname: fmt.Sprintf("host-%02d.example", i%20),
			PathPrefix: fmt.Sprintf("/path/%04d", i), RouteType: configuration.RouteTypeAsync, Service: service,
			Priority: i % 4, TimeoutMs: 1200, TargetLatencyMs: 80, ScheduleTargetMs: 800, MaxRetries: 3, RetentionS: 90,
		})
	}
	raw, err := json.Marshal(document)
	if err != nil {
		panic(fmt.Sprintf("the configuration cannot be encoded: %v", err))
	}
	return raw
}
