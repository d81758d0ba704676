package configuration

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/zeebo/errs"

	"yardwharf/internal/service/jsontext"
)

// Class is the error class of this package. An error has one line per fault,
// which gives its location and cause.
var Class = errs.Class("configuration")

const (
	schemaName        = "configuration.schema.json"
	maxReportedFaults = 20
)

//go:embed configuration.schema.json
var schemaText []byte

// schema compiles the embedded schema once.
var schema = sync.OnceValues(func() (*jsonschema.Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return nil, Class.Wrap(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaName, document); err != nil {
		return nil, Class.Wrap(err)
	}
	compiled, err := compiler.Compile(schemaName)
	return compiled, Class.Wrap(err)
})

// document is the JSON form of a configuration.
type document struct {
	Revision int64      `json:"revision"`
	Routes   []*Route   `json:"routes"`
	Services []*Service `json:"services"`
	Limits   Limits     `json:"limits"`
}

// Parse decodes and validates a complete configuration. It keeps raw, which the
// caller must not modify afterwards. Unknown fields are ignored.
func Parse(raw []byte) (*Configuration, error) {
	if err := checkSchema(raw); err != nil {
		return nil, err
	}
	var parsed document
	if err := json.Unmarshal(raw, &parsed); err != nil {
		return nil, syntaxError(raw, err)
	}
	if faults := parsed.semanticFaults(); len(faults) > 0 {
		return nil, joinFaults(faults)
	}
	return parsed.build(raw), nil
}

func checkSchema(raw []byte) error {
	compiled, err := schema()
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var content any
	if err := decoder.Decode(&content); err != nil {
		return syntaxError(raw, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Class.New("%s: more follows the configuration", jsontext.Position(raw, decoder.InputOffset()-1))
	}
	err = compiled.Validate(content)
	var invalid *jsonschema.ValidationError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &invalid):
		return joinFaults(schemaFaults(invalid.BasicOutput()))
	default:
		return Class.Wrap(err)
	}
}

// schemaFaults lists the schema violations, as "pointer: cause".
func schemaFaults(output *jsonschema.OutputUnit) []string {
	var faults []string
	for _, unit := range output.Errors {
		if unit.Error == nil {
			continue
		}
		pointer := unit.InstanceLocation
		if pointer == "" {
			pointer = "/"
		}
		faults = append(faults, pointer+": "+unit.Error.String())
	}
	return faults
}

// semanticFaults lists faults that the schema cannot detect, as "pointer: cause".
func (d *document) semanticFaults() []string {
	var faults []string
	services := map[string]int{}
	for index, service := range d.Services {
		if first, taken := services[service.Name]; taken {
			faults = append(faults, fmt.Sprintf("/services/%d/name: %q is the name of /services/%d", index, service.Name, first))
			continue
		}
		services[service.Name] = index
	}
	names, paths := map[string]int{}, map[[2]string]int{}
	for index, route := range d.Routes {
		if first, taken := names[route.Name]; taken {
			faults = append(faults, fmt.Sprintf("/routes/%d/name: %q is the name of /routes/%d", index, route.Name, first))
		} else {
			names[route.Name] = index
		}
		key := [2]string{normalizeHost(route.Hostname), route.PathPrefix}
		if first, taken := paths[key]; taken {
			faults = append(faults, fmt.Sprintf("/routes/%d: shares host %q and prefix %q with /routes/%d", index, key[0], key[1], first))
		} else {
			paths[key] = index
		}
		if _, known := services[route.Service]; !known {
			faults = append(faults, fmt.Sprintf("/routes/%d/service: there is no service %q", index, route.Service))
		}
	}
	return faults
}

func (d *document) build(raw []byte) *Configuration {
	c := &Configuration{
		revision: d.Revision, limits: d.Limits, routes: d.Routes, raw: raw,
		services: make(map[string]*Service, len(d.Services)), hosts: map[string]*prefixIndex{},
	}
	for _, service := range d.Services {
		c.services[service.Name] = service
	}
	for _, route := range d.Routes {
		host := normalizeHost(route.Hostname)
		table := c.hosts[host]
		if table == nil {
			table = &prefixIndex{routes: map[string]*Route{}}
			c.hosts[host] = table
		}
		table.add(route)
	}
	return c
}

// joinFaults combines faults into one error with a line per fault, up to a maximum.
func joinFaults(faults []string) error {
	if more := len(faults) - maxReportedFaults; more > 0 {
		faults = append(faults[:maxReportedFaults:maxReportedFaults], fmt.Sprintf("and %d more", more))
	}
	return Class.New("%s", strings.Join(faults, "\n"))
}

// syntaxError returns an error with the line and column of a JSON decoding failure.
func syntaxError(raw []byte, err error) error {
	return Class.New("%s", jsontext.DescribeError(raw, err))
}
