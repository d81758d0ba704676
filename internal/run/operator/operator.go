// Package operator reads the operator's own file: a Starlark script whose calls
// say which subsystems a dispatcher runs and how. Running the script only fills
// in a File; nothing is opened, started or looked up, and the same text always
// gives the same File.
//
// A fault is one line, FILE:LINE:COL: key: what is wrong, expected what. The
// position is that of the key's value where there is one, else of the call.
package operator

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"yardwharf/internal/decide/script"
)

// MaxSteps bounds the Starlark steps that a file and all that it loads may take
// together: a loop without end is refused after some tenths of a second.
const MaxSteps = 2_000_000

// File is what an operator's file asks for. The zero File asks for nothing: the
// dispatcher then runs as the platform's configuration alone says.
type File struct {
	Inventory *Inventory // nil: the platform's own discovery
	Routes    []Route
	Jobs      *Jobs  // nil: there is no front for jobs that wait
	Zones     *Zones // nil: each dispatcher finds out alone that a zone is lost
}

// Load runs the file at path. An error that the file is to blame for is a *script.Error.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return Parse(path, text, func(name string) ([]byte, error) {
		return os.ReadFile(filepath.Join(filepath.Dir(path), name))
	})
}

// Parse runs the text of a file; read gives the text of a file beside it.
func Parse(path string, text []byte, read func(name string) ([]byte, error)) (*File, error) {
	r := &reader{}
	err := script.Run(script.Options{Path: path, Text: text, ReadFile: read, MaxSteps: MaxSteps, Builtins: r.calls()})
	if err != nil {
		return nil, err
	}
	if err := r.file.check(); err != nil {
		return nil, err
	}
	return &r.file, nil
}

// check holds what no single call can see.
func (f *File) check() error {
	if f.Inventory == nil && len(f.Routes) > 0 {
		return &script.Error{Pos: f.Routes[0].Pos, Key: "route", Problem: "there is no inventory with clusters",
			Expected: "inventory(xds(...)) in the same file"}
	}
	return nil
}

// Asked are the clusters to ask for: those that the inventory names and those
// that routes name. None means all that there are.
func (f *File) Asked() []string {
	if f.Inventory == nil || len(f.Inventory.XDS.Clusters) == 0 {
		return nil
	}
	names := slices.Clone(f.Inventory.XDS.Clusters)
	for _, r := range f.Routes {
		for _, c := range r.Clusters {
			names = append(names, c.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// CheckClasses holds the routes against the classes of a site.
func (f *File) CheckClasses(classes []string) error {
	for _, r := range f.Routes {
		if !slices.Contains(classes, r.Class) {
			return &script.Error{Pos: r.Pos, Key: "class_", Problem: fmt.Sprintf("the site has no class %q", r.Class),
				Expected: "one of " + script.QuoteNames(classes)}
		}
	}
	return nil
}

// String says in one line what the file asks for.
func (f *File) String() string {
	if f.Inventory == nil && len(f.Routes) == 0 && f.Jobs == nil && f.Zones == nil {
		return "nothing is set, all is as the platform's configuration says"
	}
	var parts []string
	if f.Inventory != nil {
		x := f.Inventory.XDS
		mode, clusters, link := "state of the world", "all clusters", "plain text"
		if x.Delta {
			mode = "incremental"
		}
		if len(x.Clusters) > 0 {
			clusters = "clusters " + strings.Join(x.Clusters, ", ")
		}
		if x.TLS != nil {
			link = "TLS"
		}
		parts = append(parts, fmt.Sprintf("inventory over xDS from %s (%s, %s, %s)", strings.Join(x.Servers, ", "), mode, clusters, link))
	}
	for _, r := range f.Routes {
		var to []string
		for _, c := range r.Clusters {
			to = append(to, fmt.Sprintf("%s %d", c.Name, c.Weight))
		}
		parts = append(parts, fmt.Sprintf("%s to %s", r.Class, strings.Join(to, ", ")))
	}
	if j := f.Jobs; j != nil {
		age := "without ageing"
		if !j.Ageing.Disabled {
			age = fmt.Sprintf("none ready for over %v as far as the reserve reaches", j.Ageing.MaxWait)
		}
		parts = append(parts, fmt.Sprintf("jobs that wait at %s, %s", j.Listen, age))
	}
	if f.Zones != nil {
		parts = append(parts, "zones are left and regained as a fleet")
	}
	return strings.Join(parts, "; ")
}
