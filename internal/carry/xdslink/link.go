// Package xdslink is the line between a dispatcher and the program beside it that
// speaks xDS for it (cmd/yardxds). gRPC and Envoy's types cost a process 12 MB, more
// than a small dispatcher can give; so they live in a program of their own, which
// runs only where the operator's file asks for it. The two speak JSON, one object a
// line, over the helper's standard input and output.
package xdslink

import (
	"time"

	"yardwharf/internal/decide/membership"
)

// Config is a management server that speaks xDS over an aggregated stream, as the
// operator's file says, checked.
type Config struct {
	Servers      []string      `json:"servers"` // ip:port, tried in order
	Delta        bool          `json:"delta"`   // incremental; else state of the world
	Node         Node          `json:"node"`
	Clusters     []string      `json:"clusters"` // none: all that CDS gives
	TLS          *TLS          `json:"tls"`      // nil: plain text
	InitialFetch time.Duration `json:"initial_fetch_timeout"`
	StaleHold    time.Duration `json:"stale_hold"`   // how long an update that looks old is held
	AllowEmpty   bool          `json:"allow_empty"`  // an update may take every host
	MaxMessageMB int           `json:"max_message"`  // of one response
	MaxHosts     int           `json:"max_hosts"`    // in all
	BackoffMost  time.Duration `json:"backoff_most"` // between two attempts to reach a server
	Silence      time.Duration `json:"silence"`      // without a sign of life the connection counts as dead
}

// Node is what the management server is told of this dispatcher (xDS
// config.core.v3.Node).
type Node struct {
	ID      string `json:"id"`
	Cluster string `json:"cluster"`
	Zone    string `json:"zone"`
}

// TLS names files with keys, read again when they change. Without Cert the
// server is checked, and the dispatcher shows no certificate.
type TLS struct {
	CA         string `json:"ca"`
	Cert       string `json:"cert"`
	Key        string `json:"key"`
	ServerName string `json:"server_name"`
}

// ToHelper is a line to the helper; one of the fields is set. The first line of
// all is Config.
type ToHelper struct {
	Config   *Config          `json:"config,omitempty"`
	Base     uint64           `json:"base,omitempty"` // with Config: updates are counted from here on
	Verdict  *Verdict         `json:"verdict,omitempty"`
	Accepted *membership.Mark `json:"accepted,omitempty"`
	Kick     bool             `json:"kick,omitempty"` // try a server now
}

// Verdict answers an update.
type Verdict struct {
	N      uint64 `json:"n"`
	Reason string `json:"reason,omitempty"` // why it is refused; empty: it is accepted
	Old    bool   `json:"old,omitempty"`    // refused as old: it may count later
	Again  bool   `json:"again,omitempty"`  // neither: it is wanted whole
}

// FromHelper is a line from the helper; one of the fields is set, N with Update.
type FromHelper struct {
	Up      string             `json:"up,omitempty"`   // the server whose stream stands
	Down    string             `json:"down,omitempty"` // why none does
	Refused string             `json:"refused,omitempty"`
	N       uint64             `json:"n,omitempty"`
	Update  *membership.Update `json:"update,omitempty"`
}
