package xds

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/types/known/anypb"

	"yardwharf/internal/decide/membership"
)

// The resource types of the two that are asked for.
const (
	ClusterType    = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	AssignmentType = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
)

const (
	metadataKey  = "yardwharf" // of an endpoint's filter metadata
	mostPriority = 128         // as Envoy has it
)

// Cluster reads an envoy.config.cluster.v3.Cluster. An error names the field that
// cannot be used.
func Cluster(version string, body *anypb.Any) (membership.Cluster, error) {
	var c clusterv3.Cluster
	if err := body.UnmarshalTo(&c); err != nil {
		return membership.Cluster{}, fmt.Errorf("cluster: %w", err)
	}
	out := membership.Cluster{Name: c.GetName(), Version: version, Sum: xxhash.Sum64(body.GetValue())}
	fault := func(format string, args ...any) (membership.Cluster, error) {
		return membership.Cluster{}, fmt.Errorf("cluster %q: %s", c.GetName(), fmt.Sprintf(format, args...))
	}
	if c.GetName() == "" {
		return fault("name: is empty")
	}
	if c.GetClusterType() != nil {
		return fault("cluster_type: custom clusters cannot be used, expected type EDS or STATIC")
	}
	switch c.GetType() {
	case clusterv3.Cluster_EDS:
		switch c.GetEdsClusterConfig().GetEdsConfig().GetConfigSourceSpecifier().(type) {
		case nil, *corev3.ConfigSource_Ads, *corev3.ConfigSource_Self:
		default:
			return fault("eds_cluster_config.eds_config: another source, expected ads")
		}
		if out.Source = c.GetEdsClusterConfig().GetServiceName(); out.Source == "" {
			out.Source = c.GetName()
		}
	case clusterv3.Cluster_STATIC:
		list, err := assignment(c.GetLoadAssignment(), "load_assignment.")
		if err != nil {
			return fault("%v", err)
		}
		list.Name = c.GetName()
		out.Inline = &list
	default:
		return fault("type: is %v, expected EDS or STATIC: names are not looked up", c.GetType())
	}
	return out, nil
}

// Assignment reads an envoy.config.endpoint.v3.ClusterLoadAssignment.
func Assignment(version string, body *anypb.Any) (membership.Assignment, error) {
	var a endpointv3.ClusterLoadAssignment
	if err := body.UnmarshalTo(&a); err != nil {
		return membership.Assignment{}, fmt.Errorf("endpoints: %w", err)
	}
	if a.GetClusterName() == "" {
		return membership.Assignment{}, fmt.Errorf("endpoints: cluster_name: is empty")
	}
	out, err := assignment(&a, "")
	if err != nil {
		return membership.Assignment{}, fmt.Errorf("endpoints of %q: %w", a.GetClusterName(), err)
	}
	out.Name, out.Version, out.Sum = a.GetClusterName(), version, xxhash.Sum64(body.GetValue())
	return out, nil
}

func assignment(a *endpointv3.ClusterLoadAssignment, at string) (out membership.Assignment, err error) {
	for i, l := range a.GetEndpoints() {
		at := fmt.Sprintf("%sendpoints[%d].", at, i)
		if l.GetLedsClusterLocalityConfig() != nil || l.GetLoadBalancerEndpoints() != nil {
			return out, fmt.Errorf("%sleds_cluster_locality_config: endpoints elsewhere cannot be used, expected lb_endpoints", at)
		}
		if l.GetPriority() > mostPriority {
			return out, fmt.Errorf("%spriority: is %d, expected %d at most", at, l.GetPriority(), mostPriority)
		}
		sum := uint64(0)
		for j, e := range l.GetLbEndpoints() {
			at := fmt.Sprintf("%slb_endpoints[%d].", at, j)
			h, err := host(e, at)
			if err != nil {
				return out, err
			}
			if sum += uint64(h.Weight); sum > 1<<32-1 {
				return out, fmt.Errorf("%sload_balancing_weight: the sum is over 4294967295", at)
			}
			h.Zone, h.Priority = l.GetLocality().GetZone(), l.GetPriority()
			out.Endpoints = append(out.Endpoints, h)
		}
	}
	if out.Endpoints, err = distinct(out.Endpoints); err != nil {
		return out, err
	}
	return out, policy(a.GetPolicy(), at, &out)
}

// policy reads ClusterLoadAssignment.Policy.
func policy(p *endpointv3.ClusterLoadAssignment_Policy, at string, out *membership.Assignment) error {
	for i, d := range p.GetDropOverloads() {
		part, per := d.GetDropPercentage(), 100.0
		switch part.GetDenominator() {
		case typev3.FractionalPercent_TEN_THOUSAND:
			per = 1e4
		case typev3.FractionalPercent_MILLION:
			per = 1e6
		}
		share := float64(part.GetNumerator()) / per
		if d.GetCategory() == "" || share > 1 {
			return fmt.Errorf("%spolicy.drop_overloads[%d]: has no category or drops more than all", at, i)
		}
		out.Drops = append(out.Drops, membership.Drop{Category: d.GetCategory(), Share: share})
	}
	if over := p.GetOverprovisioningFactor(); over != nil {
		if out.Overprovision = over.GetValue(); out.Overprovision == 0 {
			return fmt.Errorf("%spolicy.overprovisioning_factor: is 0, expected 1 at least", at)
		}
	}
	if stale := p.GetEndpointStaleAfter(); stale != nil {
		if out.StaleAfter = stale.AsDuration(); out.StaleAfter <= 0 {
			return fmt.Errorf("%spolicy.endpoint_stale_after: is %v, expected a time above 0", at, out.StaleAfter)
		}
	}
	out.ByWeight = p.GetWeightedPriorityHealth()
	return nil
}

// host reads an LbEndpoint.
func host(e *endpointv3.LbEndpoint, at string) (out membership.Endpoint, err error) {
	address := e.GetEndpoint().GetAddress().GetSocketAddress()
	if address == nil {
		return out, fmt.Errorf("%sendpoint.address: is no socket_address", at)
	}
	ip, err := netip.ParseAddr(address.GetAddress())
	port := address.GetPortValue()
	switch {
	case err != nil:
		return out, fmt.Errorf("%sendpoint.address: %q is no IP address, and names are not looked up", at, address.GetAddress())
	case port == 0 || port > 65535:
		return out, fmt.Errorf("%sendpoint.address.port_value: is %d, expected 1 to 65535", at, port)
	case address.GetProtocol() != corev3.SocketAddress_TCP:
		return out, fmt.Errorf("%sendpoint.address.protocol: is %v, expected TCP", at, address.GetProtocol())
	}
	out.Address = netip.AddrPortFrom(ip.Unmap(), uint16(port))
	if out.Name = e.GetEndpoint().GetHostname(); out.Name == "" {
		out.Name = out.Address.String()
	}
	out.Weight = 1
	if w := e.GetLoadBalancingWeight(); w != nil {
		if out.Weight = float64(w.GetValue()); w.GetValue() == 0 {
			return out, fmt.Errorf("%sload_balancing_weight: is 0, expected 1 at least", at)
		}
	}
	switch s := e.GetHealthStatus(); s {
	case corev3.HealthStatus_UNKNOWN, corev3.HealthStatus_HEALTHY:
	case corev3.HealthStatus_UNHEALTHY:
		out.Health = membership.Unhealthy
	case corev3.HealthStatus_DRAINING:
		out.Health = membership.Draining
	case corev3.HealthStatus_TIMEOUT:
		out.Health = membership.Timeout
	case corev3.HealthStatus_DEGRADED:
		out.Health = membership.Degraded
	default:
		return out, fmt.Errorf("%shealth_status: unknown value %d", at, s)
	}
	return out, ours(e, at, &out)
}

// ours reads what an endpoint's metadata says in this program's own words.
func ours(e *endpointv3.LbEndpoint, at string, out *membership.Endpoint) error {
	fields := e.GetMetadata().GetFilterMetadata()[metadataKey].GetFields()
	at += "metadata." + metadataKey + "."
	if v := fields["type"]; v != nil {
		if out.Type = v.GetStringValue(); out.Type == "" {
			return fmt.Errorf("%stype: expected a string", at)
		}
	}
	if v := fields["group"]; v != nil {
		n := v.GetNumberValue()
		if out.Group, out.HasGroup = int(n), true; n != float64(out.Group) || n < 0 || n > 1e9 {
			return fmt.Errorf("%sgroup: is %v, expected a whole number", at, v)
		}
	}
	if v := fields["since_ms"]; v != nil {
		n := v.GetNumberValue()
		if out.Started = time.Duration(n * float64(time.Millisecond)); n < 0 || n > 1e13 {
			return fmt.Errorf("%ssince_ms: is %v, expected Unix time in milliseconds", at, v)
		}
	}
	return nil
}

// distinct sorts endpoints by name. One that is listed twice counts once, in the
// preferred priority and with the stricter health; two under one name, or two names
// at one address, cannot be told apart.
func distinct(list []membership.Endpoint) ([]membership.Endpoint, error) {
	slices.SortStableFunc(list, func(a, b membership.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	out := list[:0]
	addresses := make(map[netip.AddrPort]string, len(list))
	for _, e := range list {
		if n := len(out); n > 0 && out[n-1].Name == e.Name {
			have := &out[n-1]
			if have.Address != e.Address {
				return nil, fmt.Errorf("host %q is listed with the addresses %v and %v", e.Name, have.Address, e.Address)
			}
			if e.Priority < have.Priority {
				have.Priority, have.Zone, have.Weight = e.Priority, e.Zone, e.Weight
			}
			if strictness(e.Health) > strictness(have.Health) {
				have.Health = e.Health
			}
			continue
		}
		if other, twice := addresses[e.Address]; twice {
			return nil, fmt.Errorf("address %v is listed for the hosts %q and %q", e.Address, other, e.Name)
		}
		addresses[e.Address] = e.Name
		out = append(out, e)
	}
	return out, nil
}

func strictness(h membership.Health) int {
	return [...]int{membership.Healthy: 0, membership.Degraded: 1, membership.Unhealthy: 2, membership.Timeout: 2, membership.Draining: 3}[h]
}
