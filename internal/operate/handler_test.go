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

// fakeCore is a Core whose listed engines are e1 and e2.
type fakeCore struct {
	mu      sync.Mutex
	ejected map[string]bool
}

func (f *fakeCore) Eject(_ context.Context, name string, eject bool) ([]string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if name != "e1" && name != "e2" {
		return nil, false
	}
	if f.ejected == nil {
		f.ejected = map[string]bool{}
	}
	if f.ejected[name] = eject; !eject {
		delete(f.ejected, name)
	}
	return f.names(), true
}

func (f *fakeCore) SetEjected(names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ejected = map[string]bool{}
	for _, name := range names {
		f.ejected[name] = true
	}
}

func (f *fakeCore) Ejected() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.names()
}

func (f *fakeCore) names() []string {
	names := []string{}
	for name := range f.ejected {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func newHandler(t *testing.T, dir string) (*Handler, *fakeCore) {
	t.Helper()
	core := &fakeCore{}
	h := &Handler{
		Core:  core,
		Ready: func() bool { return true },
		Drain: func(context.Context, bool) bool { return true },
		Log:   slog.New(slog.DiscardHandler),
	}
	if dir != "" {
		h.Store = ejectionfile.Open(dir, "n")
	}
	return h, core
}

func readEjectionsFile(t *testing.T, dir string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, "wellgw-bans-n"))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestCommandsAreAnswered(t *testing.T) {
	for _, c := range []struct {
		name           string
		command        control.Command
		ready, drainOK bool
		want           bool
		drains         []bool // arguments of Drain
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
			h, _ := newHandler(t, "")
			var drains []bool
			h.Ready = func() bool { return c.ready }
			h.Drain = func(_ context.Context, on bool) bool {
				drains = append(drains, on)
				return c.drainOK
			}
			if got := h.HandleCommand(t.Context(), c.command); got != c.want {
				t.Errorf("answer %v, want %v", got, c.want)
			}
			if !slices.Equal(drains, c.drains) {
				t.Errorf("drains %v, want %v", drains, c.drains)
			}
		})
	}
}

func TestEjectionsAreWritten(t *testing.T) {
	dir := t.TempDir()
	h, core := newHandler(t, dir)
	for _, c := range []struct {
		command control.Command
		want    string
	}{
		{control.Command{Verb: control.MaintOn, EngineID: "e2"}, "e2\n"},
		{control.Command{Verb: control.MaintOn, EngineID: "e1"}, "e1\ne2\n"},
		{control.Command{Verb: control.MaintOff, EngineID: "e2"}, "e1\n"},
		{control.Command{Verb: control.MaintOff, EngineID: "e1"}, "\n"},
	} {
		if !h.HandleCommand(t.Context(), c.command) {
			t.Errorf("%+v refused", c.command)
		}
		if got := readEjectionsFile(t, dir); got != c.want {
			t.Errorf("%+v: file %q, want %q", c.command, got, c.want)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "wellgw-bans-n"), []byte("e2\nother\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	h.Load()
	if got := core.Ejected(); !slices.Equal(got, []string{"e2", "other"}) {
		t.Errorf("ejections after another process wrote the file: %v", got)
	}
	if err := os.WriteFile(filepath.Join(dir, "wellgw-bans-n"), []byte("e1\ne"), 0o600); err != nil {
		t.Fatal(err)
	}
	h.Load()
	if got := core.Ejected(); !slices.Equal(got, []string{"e2", "other"}) {
		t.Errorf("ejections after the file was damaged: %v", got)
	}
}

// If the ejections file can't be written, an ejection is in force, but its command is answered with NO.
// The ejection is written as soon as the file is writable.
func TestEjectionWithFailedWriteIsRefused(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "missing")
	h, core := newHandler(t, dir)
	if h.HandleCommand(t.Context(), control.Command{Verb: control.MaintOn, EngineID: "e1"}) {
		t.Error("accepted, although the write failed")
	}
	if got := core.Ejected(); !slices.Equal(got, []string{"e1"}) {
		t.Errorf("ejections in force: %v, want [e1]", got)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); h.Watch(ctx) }()
	defer func() { cancel(); <-done }()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if text, err := os.ReadFile(filepath.Join(dir, "wellgw-bans-n")); err == nil && string(text) == "e1\n" {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the ejection was not written")
		}
	}
}

// A process writes its own ready mark and hands over exactly once when a newer process is ready.
func TestHandoverToNewerProcess(t *testing.T) {
	dir := t.TempDir()
	h, _ := newHandler(t, dir)
	h.Process = ejectionfile.Process{Started: time.Unix(1000, 0), PID: 10}
	handovers := make(chan struct{}, 8)
	h.OnSuccessorReady = func() { handovers <- struct{}{} }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); h.Watch(ctx) }()
	defer func() { cancel(); <-done }()
	store := ejectionfile.Open(dir, "n")
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if marked, ok := store.ReadyProcess(); ok && marked.Started.Equal(h.Process.Started) && marked.PID == h.Process.PID {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the process did not write its ready mark")
		}
	}
	if err := store.MarkReady(ejectionfile.Process{Started: time.Unix(1001, 0), PID: 9}); err != nil {
		t.Fatal(err)
	}
	<-handovers
	time.Sleep(3 * PollInterval)
	if len(handovers) != 0 {
		t.Error("handed over more than once")
	}
}

// If two processes become ready within one poll interval, either may write its mark last. In both orders
// the older process hands over to the newer one.
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

	t.Run("only the newer mark written", func(t *testing.T) {
		mark(newer)
		h, handedOver := newHandover(older)
		h.checkHandover()
		if !*handedOver || marked().PID != newer.PID {
			t.Errorf("older handed over: %v, ready mark: %v", *handedOver, marked())
		}
	})
	t.Run("older mark overwrites newer mark", func(t *testing.T) {
		mark(newer)
		mark(older) // the older process read the store before the newer mark was written
		newerHandler, newerHandedOver := newHandover(newer)
		newerHandler.checkHandover()
		if *newerHandedOver || marked().PID != newer.PID {
			t.Errorf("newer handed over: %v, ready mark: %v", *newerHandedOver, marked())
		}
		olderHandler, olderHandedOver := newHandover(older)
		if olderHandler.checkHandover(); !*olderHandedOver {
			t.Error("the older process did not hand over")
		}
	})
}
