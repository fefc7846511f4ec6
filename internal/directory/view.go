package directory

import (
	"time"

	"wellgw/decide/roster"
)

// Engine describes an engine to operators.
type Engine struct {
	ID          string   `json:"id"`
	Address     string   `json:"address"`
	Role        string   `json:"role"`
	ListedRole  string   `json:"listed,omitempty"` // the role in its sources, if it differs from Role
	Zone        string   `json:"zone"`
	Cell        int      `json:"cell"`
	State       string   `json:"state"`
	StateReason string   `json:"why,omitempty"`
	Confidence  string   `json:"confidence"`
	AgeMS       int64    `json:"age_ms"`          // since the last trusted view that listed it
	UpMS        int64    `json:"up_ms,omitempty"` // since its start; 0 if unknown
	Sources     []string `json:"sources"`
}

// Source describes a source of engines to operators.
type Source struct {
	Source         string `json:"source"`
	DistrustReason string `json:"doubt,omitempty"`
	UntrustedMS    int64  `json:"doubt_ms,omitempty"`
	AgeMS          int64  `json:"age_ms"` // since the last trusted view; -1 if there was none
	Index          uint64 `json:"index"`
	Engines        int    `json:"engines"`
}

// View describes the engines and their sources to operators.
type View struct {
	Engines []Engine `json:"engines"`
	Sources []Source `json:"sources"`
	Stats   Stats    `json:"stats"`
}

// View returns the current View.
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
		row := Engine{
			ID: e.ID, Address: e.Addr, Role: e.Kind, Zone: e.Zone, Cell: e.Cell, State: e.State.String(), StateReason: e.StateReason,
			Confidence: e.Confidence.String(), AgeMS: since(e.LastSeen), Sources: e.Sources,
		}
		if e.ListedKind != e.Kind {
			row.ListedRole = e.ListedKind
		}
		if !e.Started.IsZero() {
			row.UpMS = max(1, since(e.Started)) // 0 means unknown
		}
		v.Engines = append(v.Engines, row)
	}
	for _, s := range d.registry.SourceStatuses() {
		row := Source{Source: s.Source, DistrustReason: string(s.DistrustReason), AgeMS: since(s.LastTrusted), Index: s.Index, Engines: s.Engines}
		if s.DistrustReason != roster.Trusted {
			row.UntrustedMS = since(s.UntrustedSince)
		}
		v.Sources = append(v.Sources, row)
	}
	return v
}
