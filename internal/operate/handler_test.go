package operate

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"wellgw/internal/control"
	"wellgw/internal/ejectionfile"
)

// fakeCore lists engines e1 and e2.
type fakeCore struct {
	mu  sync.Mutex
	out map[string]bool
}

func (f *fakeCore) Eject(_ context.Context, name string, out bool) ([]string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if name != "e1" && name != "e2" {
		return nil, false
	}
	if f.out == nil {
		f.out = map[string]bool{}
	}
	if f.out[name] = out; !out {
		delete(f.out, name)
	}
	return f.names(), true
}

func (f *fakeCore) SetEjected(names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.out = map[string]bool{}
	for _, name := range names {
		f.out[name] = true
	}
}

func (f *fakeCore) Ejected() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.names()
}

func (f *fakeCore) names() []string {
	names := []string{}
	for name := range f.out {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func newHandler(t *testing.T, dir string) (*Handler, *fakeCore) {
	t.Helper()
	engines := &fakeCore{}
	d := &Handler{
		Core:  engines,
		Ready: func() bool { return true },
		Drain: func(context.Context, bool) bool { return true },
		Log:   slog.New(slog.DiscardHandler),
	}
	if dir != "" {
		d.Store = ejectionfile.Open(dir, "n")
	}
	return d, engines
}

func fileText(t *testing.T, dir string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, "wellgw-bans-n"))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestCommandsAreAnswered(t *testing.T) {
	for _, c := range []struct {
		name         string
		command      control.Command
		ready, drain bool
		want         bool
		drained      []bool
	}{
		{"status, ready", control.Command{Verb: control.Status}, true, true, true, nil},
		{"status, not ready", control.Command{Verb: control.Status}, false, true, false, nil},
		{"standby", control.Command{Verb: control.Standby}, true, true, true, []bool{true}},
		{"standby refused", control.Command{Verb: control.Standby}, true, false, false, []bool{true}},
		{"active", control.Command{Verb: control.Active}, true, true, true, []bool{false}},
		{"active refused", control.Command{Verb: control.Active}, true, false, false, []bool{false}},
		{"maint-on", control.Command{Verb: control.MaintOn, EngineID: "e1"}, true, true, true, nil},
		{"maint-on, never listed", control.Command{Verb: control.MaintOn, EngineID: "x"}, true, true, false, nil},
		{"maint-off", control.Command{Verb: control.MaintOff, EngineID: "e1"}, true, true, true, nil},
		{"unknown", control.Command{Verb: "reboot"}, true, true, false, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, _ := newHandler(t, "")
			var drained []bool
			d.Ready = func() bool { return c.ready }
			d.Drain = func(_ context.Context, on bool) bool {
				drained = append(drained, on)
				return c.drain
			}
			if got := d.HandleCommand(t.Context(), c.command); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
			if !slices.Equal(drained, c.drained) {
				t.Errorf("drains %v, want %v", drained, c.drained)
			}
		})
	}
}

func TestEjectionsAreWritten(t *testing.T) {
	dir := t.TempDir()
	d, engines := newHandler(t, dir)
	for _, c := range []struct {
		command control.Command
		want    string
	}{
		{control.Command{Verb: control.MaintOn, EngineID: "e2"}, "e2\n"},
		{control.Command{Verb: control.MaintOn, EngineID: "e1"}, "e1\ne2\n"},
		{control.Command{Verb: control.MaintOff, EngineID: "e2"}, "e1\n"},
		{control.Command{Verb: control.MaintOff, EngineID: "e1"}, "\n"},
	} {
		if !d.HandleCommand(t.Context(), c.command) {
			t.Errorf("%+v refused", c.command)
		}
		if got := fileText(t, dir); got != c.want {
			t.Errorf("%+v: file %q, want %q", c.command, got, c.want)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "wellgw-bans-n"), []byte("e2\nother\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	d.Load()
	if got := engines.Ejected(); !slices.Equal(got, []string{"e2", "other"}) {
		t.Errorf("as another process wrote them: %v", got)
	}
	if err := os.WriteFile(filepath.Join(dir, "wellgw-bans-n"), []byte("e1\ne"), 0o600); err != nil {
		t.Fatal(err)
	}
	d.Load()
	if got := engines.Ejected(); !slices.Equal(got, []string{"e2", "other"}) {
		t.Errorf("after a damaged file: %v", got)
	}
}

// An ejection whose file can't be written is in force and refused; it is written once that can be done.
func TestUnwrittenEjectionIsRefused(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "missing")
	d, engines := newHandler(t, dir)
	if d.HandleCommand(t.Context(), control.Command{Verb: control.MaintOn, EngineID: "e1"}) {
		t.Error("accepted, though not written")
	}
	if got := engines.Ejected(); !slices.Equal(got, []string{"e1"}) {
		t.Errorf("in force: %v", got)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); d.Watch(ctx) }()
	defer func() { cancel(); <-done }()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if text, err := os.ReadFile(filepath.Join(dir, "wellgw-bans-n")); err == nil && string(text) == "e1\n" {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("not written")
		}
	}
}

// A process hands over once, to a newer one that is ready, and says that it is ready itself.
func TestNewerProcessTakesOver(t *testing.T) {
	dir := t.TempDir()
	d, _ := newHandler(t, dir)
	d.Process = ejectionfile.Process{Started: time.Unix(1000, 0), PID: 10}
	taken := make(chan struct{}, 8)
	d.OnSuccessorReady = func() { taken <- struct{}{} }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); d.Watch(ctx) }()
	defer func() { cancel(); <-done }()
	other := ejectionfile.Open(dir, "n")
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if marked, ok := other.ReadyProcess(); ok && marked.Started.Equal(d.Process.Started) && marked.PID == d.Process.PID {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("not marked ready")
		}
	}
	if err := other.MarkReady(ejectionfile.Process{Started: time.Unix(1001, 0), PID: 9}); err != nil {
		t.Fatal(err)
	}
	<-taken
	time.Sleep(3 * PollInterval)
	if len(taken) != 0 {
		t.Error("handed over twice")
	}
}

// Two processes may become ready within one poll, so that either writes its mark last: the older one
// hands over all the same.
func TestSimultaneousReadyMarks(t *testing.T) {
	older := ejectionfile.Process{Started: time.Unix(1000, 0), PID: 10}
	newer := ejectionfile.Process{Started: time.Unix(1001, 0), PID: 9}
	dir := t.TempDir()
	store := ejectionfile.Open(dir, "n")
	newHandover := func(process ejectionfile.Process) (h *Handler, handedOver *bool) {
		h, _ = newHandler(t, dir)
		h.Process, handedOver = process, new(bool)
		h.OnSuccessorReady = func() { *handedOver = true }
		return h, handedOver
	}
	marked := func() ejectionfile.Process {
		process, ok := store.ReadyProcess()
		if !ok {
			t.Fatal("no ready mark")
		}
		return process
	}
	mark := func(process ejectionfile.Process) {
		if err := store.MarkReady(process); err != nil {
			t.Fatal(err)
		}
	}

	t.Run("newer first", func(t *testing.T) {
		mark(newer)
		h, handedOver := newHandover(older)
		h.followHandover()
		if !*handedOver || marked().PID != newer.PID {
			t.Errorf("handed over: %v, marked: %v", *handedOver, marked())
		}
	})
	t.Run("older last", func(t *testing.T) {
		mark(newer)
		mark(older) // it had looked before the newer one's mark was there
		young, youngHandedOver := newHandover(newer)
		young.followHandover()
		if *youngHandedOver || marked().PID != newer.PID {
			t.Errorf("newer handed over: %v, marked: %v", *youngHandedOver, marked())
		}
		old, oldHandedOver := newHandover(older)
		if old.followHandover(); !*oldHandedOver {
			t.Error("the older process does not hand over")
		}
	})
}
