package mgmt

import (
	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"time"
)

const (
	clusterType    = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	assignmentType = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
)

// Clusters and Assignments are the resource types.
const (
	Clusters    = clusterType
	Assignments = assignmentType
)

// Endpoint is one host of an assignment, in plain words. Weight 0 is none.
type Endpoint struct {
	Name, Address string // Address without port
	Port          uint32
	Zone          string
	Weight        uint32
	Priority      uint32
	Health        corev3.HealthStatus
	Type          string
	Group         int
	SinceMS       float64
}

// Policy is what an assignment says beside its endpoints. Zero values are left out.
type Policy struct {
	Drop          uint32 // percent
	Overprovision uint32
	StaleAfter    time.Duration
	ByWeight      bool
}

// EDS is a cluster whose endpoints come as the resource source; empty: under its name.
func EDS(name, source string) Resource {
	return Resource{Name: name, Body: &clusterv3.Cluster{Name: name,
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig: &clusterv3.Cluster_EdsClusterConfig{ServiceName: source, EdsConfig: &corev3.ConfigSource{
			ResourceApiVersion:    corev3.ApiVersion_V3,
			ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}}}}}}
}

// Static is a cluster with its endpoints inside.
func Static(name string, list ...Endpoint) Resource {
	return Resource{Name: name, Body: &clusterv3.Cluster{Name: name,
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_STATIC},
		LoadAssignment:       assignment(name, Policy{}, list)}}
}

// Assignment is the endpoints of a cluster.
func Assignment(name string, p Policy, list ...Endpoint) Resource {
	return Resource{Name: name, Body: assignment(name, p, list)}
}

// assignment lays the endpoints out by locality and priority.
func assignment(name string, p Policy, list []Endpoint) *endpointv3.ClusterLoadAssignment {
	out := &endpointv3.ClusterLoadAssignment{ClusterName: name}
	type place struct {
		zone     string
		priority uint32
	}
	at := map[place]*endpointv3.LocalityLbEndpoints{}
	for _, e := range list {
		l := at[place{e.Zone, e.Priority}]
		if l == nil {
			l = &endpointv3.LocalityLbEndpoints{Priority: e.Priority, Locality: &corev3.Locality{Zone: e.Zone}}
			at[place{e.Zone, e.Priority}] = l
			out.Endpoints = append(out.Endpoints, l)
		}
		l.LbEndpoints = append(l.LbEndpoints, e.proto())
	}
	if p != (Policy{}) {
		out.Policy = &endpointv3.ClusterLoadAssignment_Policy{WeightedPriorityHealth: p.ByWeight}
		if p.Drop > 0 {
			out.Policy.DropOverloads = []*endpointv3.ClusterLoadAssignment_Policy_DropOverload{
				{Category: "overload", DropPercentage: &typev3.FractionalPercent{Numerator: p.Drop}}}
		}
		if p.Overprovision > 0 {
			out.Policy.OverprovisioningFactor = wrapperspb.UInt32(p.Overprovision)
		}
		if p.StaleAfter != 0 {
			out.Policy.EndpointStaleAfter = durationpb.New(p.StaleAfter)
		}
	}
	return out
}

func (e Endpoint) proto() *endpointv3.LbEndpoint {
	out := &endpointv3.LbEndpoint{HealthStatus: e.Health, HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{
		Hostname: e.Name,
		Address: &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
			Address: e.Address, PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: e.Port}}}}}}}
	if e.Weight > 0 {
		out.LoadBalancingWeight = wrapperspb.UInt32(e.Weight)
	}
	fields := map[string]*structpb.Value{}
	if e.Type != "" {
		fields["type"] = structpb.NewStringValue(e.Type)
	}
	if e.Group > 0 {
		fields["group"] = structpb.NewNumberValue(float64(e.Group))
	}
	if e.SinceMS > 0 {
		fields["since_ms"] = structpb.NewNumberValue(e.SinceMS)
	}
	if len(fields) > 0 {
		out.Metadata = &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{"yardwharf": {Fields: fields}}}
	}
	return out
}
