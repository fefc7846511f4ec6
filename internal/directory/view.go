package directory

import (
	"time"

	"wellgw/decide/roster"
)

// Engine is an engine in the view for operators.
type Engine struct {
	ID          string   `json:"id"`
	Address     string   `json:"address"`
	Role        string   `json:"role"`
	ListedRole  string   `json:"listed,omitempty"` // the role that its sources state, if it differs
	Zone        string   `json:"zone"`
	Cell        int      `json:"cell"`
	State       string   `json:"state"`
	StateReason string   `json:"why,omitempty"`
	Confidence  string   `json:"confidence"`
	AgeMS       int64    `json:"age_ms"`          // since a trusted view listed it
	UpMS        int64    `json:"up_ms,omitempty"` // since its start, if known
	Sources     []string `json:"sources"`
}

// Source is a source in the view for operators.
type Source struct {
	Source         string `json:"source"`
	DistrustReason string `json:"doubt,omitempty"`
	UntrustedMS    int64  `json:"doubt_ms,omitempty"`
	AgeMS          int64  `json:"age_ms"` // since a view was trusted; -1 if none was
	Index          uint64 `json:"index"`
	Engines        int    `json:"engines"`
}

// View is what operators see of the engines and their sources.
type View struct {
	Engines []Engine `json:"engines"`
	Sources []Source `json:"sources"`
	Stats   Stats    `json:"stats"`
}

// View returns the present view for operators.
func (d *Directory) View() View {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	since := func(t time.Time) int64 {
		if t.IsZero() {
			return -1
		}
		return now.Sub(t).Milliseconds()
	}
	v := View{Stats: d.stats, Engines: []Engine{}, Sources: []Source{}}
	for _, e := range d.registry.Engines() {
		line := Engine{
			ID: e.ID, Address: e.Addr, Role: e.Kind, Zone: e.Zone, Cell: e.Cell, State: e.State.String(), StateReason: e.StateReason,
			Confidence: e.Confidence.String(), AgeMS: since(e.LastSeen), Sources: e.Sources,
		}
		if e.ListedKind != e.Kind {
			line.ListedRole = e.ListedKind
		}
		if !e.Started.IsZero() {
			line.UpMS = max(1, since(e.Started)) // 0 stands for unknown
		}
		v.Engines = append(v.Engines, line)
	}
	for _, s := range d.registry.SourceStatuses() {
		line := Source{Source: s.Source, DistrustReason: string(s.DistrustReason), AgeMS: since(s.LastTrusted), Index: s.Index, Engines: s.Engines}
		if s.DistrustReason != roster.Trusted {
			line.UntrustedMS = since(s.UntrustedSince)
		}
		v.Sources = append(v.Sources, line)
	}
	return v
}
