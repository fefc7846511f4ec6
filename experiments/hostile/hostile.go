// Package hostile plays clients that take a gateway's resources without using its service: crowds that write
// or read slowly, ever new connections, floods of requests, early closes and repeated ids. The clients can
// be used alone; the experiment plays them against a gateway process beside sound clients.
package hostile

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"wellgw/experiments"
)

// Settings of the experiment's gateway and its sound clients.
const (
	defaultMemory  = 192 // MB
	leastMemory    = 32  // MB
	gatewayCore    = "0" // shared with the burners of a picture
	sockets        = 1024
	soundRate      = 40
	soundDeadline  = 3 * time.Second
	warmUp         = time.Second // of the sound clients, before the disruption
	startTimeout   = 20 * time.Second
	playTime       = 8 * time.Second
	quickPlayTime  = 3 * time.Second
	minServed      = 0.9 // of the sound requests
	leaveSlack     = 120 * time.Millisecond
	longAnswer     = 340_000 // bytes
	longEvents     = 100
	shortEvents    = 8
	shortEventSize = 20
)

// HostilePrefix is the prefix of the ids of hostile clients' requests.
const HostilePrefix = "h"

// picturesVariable names an environment variable; only pictures whose name contains its value are played.
const picturesVariable = "WELLGWLAB_PICTURES"

// picture is one disruption.
type picture struct {
	name      string
	clients   int
	behaviors []Behavior
	burners   int // processes that compute beside the gateway, on its core
	memoryMB  int // the gateway's limit; 0 for defaultMemory
	long      bool
	prefill   time.Duration
}

// memory returns the gateway's limit in MB.
func (p picture) memory() int { return cmp.Or(p.memoryMB, defaultMemory) }

var pictures = []picture{
	{name: "no disruption"},
	{name: "slow bodies", clients: 450, behaviors: []Behavior{SlowBody}},
	{name: "slow heads", clients: 450, behaviors: []Behavior{SlowHead}},
	{name: "no disruption, 32 MB", memoryMB: leastMemory},
	{name: "slow bodies, 32 MB", clients: 450, behaviors: []Behavior{SlowBody}, memoryMB: leastMemory},
	{name: "slow readers, 32 MB", clients: 450, behaviors: []Behavior{SlowReader}, memoryMB: leastMemory, long: true},
	{name: "churn, 32 MB", clients: 300, behaviors: []Behavior{Churn}, memoryMB: leastMemory},
	{name: "all kinds, 32 MB", clients: 900, behaviors: []Behavior{LargeHead, SlowBody, SlowReader, Churn, EarlyClose}, memoryMB: leastMemory, long: true},
	{name: "all kinds, 32 MB, on a busy core", clients: 900, behaviors: []Behavior{LargeHead, SlowBody, SlowReader, Churn, EarlyClose}, memoryMB: leastMemory, long: true, burners: 3},
	{name: "large heads", clients: 900, behaviors: []Behavior{LargeHead}},
	{name: "large heads on a busy core", clients: 900, behaviors: []Behavior{LargeHead}, burners: 3},
	{name: "slow readers", clients: 450, behaviors: []Behavior{SlowReader}, long: true},
	{name: "mixed", clients: 900, behaviors: []Behavior{SlowBody, SlowHead, SlowReader}, long: true},
	{name: "all kinds", clients: 900, behaviors: []Behavior{LargeHead, SlowBody, SlowReader, Churn}, long: true},
	{name: "all kinds on a busy core", clients: 900, behaviors: []Behavior{LargeHead, SlowBody, SlowReader, Churn}, burners: 3, long: true},
	{name: "churn, few", clients: 120, behaviors: []Behavior{Churn}},
	{name: "churn", clients: 300, behaviors: []Behavior{Churn}},
	{name: "churn, many", clients: 700, behaviors: []Behavior{Churn}},
	{name: "churn on a busy core", clients: 120, behaviors: []Behavior{Churn}, burners: 3},
	{name: string(FloodHealth), clients: 6, behaviors: []Behavior{FloodHealth}},
	{name: string(FloodWaiting), clients: 6, behaviors: []Behavior{FloodWaiting}},
	{name: string(FloodUnsound), clients: 6, behaviors: []Behavior{FloodUnsound}},
	{name: string(FloodUnknown), clients: 6, behaviors: []Behavior{FloodUnknown}},
	{name: string(FloodRequests), clients: 6, behaviors: []Behavior{FloodRequests}},
	{name: string(EarlyClose), clients: 3, behaviors: []Behavior{EarlyClose}, prefill: 400 * time.Millisecond},
	{name: string(RepeatedOrders), clients: 4, behaviors: []Behavior{RepeatedOrders}, prefill: 400 * time.Millisecond},
}

// Experiment returns the experiment.
func Experiment() experiments.Experiment {
	return experiments.Experiment{
		Name:  "hostile",
		About: "Crowds, floods, slow and departed clients beside sound ones, at a gateway of 192 MB, 1,024 sockets and one core.",
		Run:   run,
	}
}

func run(ctx context.Context, opt experiments.Options) (*experiments.Report, error) {
	report := &experiments.Report{}
	table := experiments.Table{Title: "Pictures", Head: []string{"picture", "clients", "sound requests", "peak MB", "after close", "twice"}}
	start := time.Now()
	for n, p := range pictures {
		if only := os.Getenv(picturesVariable); only != "" && !strings.Contains(p.name, only) {
			continue
		}
		o, err := play(ctx, opt, p, opt.Seed+uint64(n))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", p.name, err)
		}
		opt.Progress(start, "%s: %v; peak %d MB; %d after the close, %d twice", p.name, o.served, o.peakMB, o.afterClose, o.twice)
		table.Rows = append(table.Rows, []any{p.name, p.clients, o.served.String(), o.peakMB, o.afterClose, o.twice})
		report.AddBound(o.peakMB < p.memory(), p.name+": memory below the limit", "%d of %d MB", o.peakMB, p.memory())
		report.AddBound(float64(o.served.InTime) >= minServed*float64(o.served.Sent) && o.served.Late+o.served.Unanswered == 0,
			p.name+": sound clients are served in time, and each has a final answer", "%v", o.served)
		report.AddBound(o.afterClose == 0, p.name+": no attempt after its client's close", "%d", o.afterClose)
		report.AddBound(o.twice == 0, p.name+": no order runs twice", "%d", o.twice)
	}
	report.Tables = append(report.Tables, table)
	return report, nil
}

// outcome is what was observed in one picture.
type outcome struct {
	served     Served
	peakMB     int
	afterClose int // attempts that arrived later than leaveSlack after their client's close
	twice      int // ids with more than one attempt at engines of one role
}

// play plays one picture.
func play(ctx context.Context, opt experiments.Options, p picture, seed uint64) (outcome, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	engines := &Engines{PrefillTime: max(p.prefill, 10*time.Millisecond), LongAnswers: p.long}
	if err := engines.Start(ctx); err != nil {
		return outcome{}, err
	}
	g, err := startGateway(ctx, opt, engines, p)
	if err != nil {
		return outcome{}, err
	}
	length := playTime
	if opt.Quick {
		length = quickPlayTime
	}
	clientsCtx, endClients := context.WithTimeout(ctx, warmUp+length)
	defer endClients()
	closed := newCloseTimes()
	go func() {
		if Sleep(clientsCtx, warmUp) && p.clients > 0 {
			Crowd(clientsCtx, Client{Addr: g.addr, Deadline: soundDeadline, Name: HostilePrefix, Closed: closed.add}, seed, p.clients, p.behaviors...)
		}
	}()
	var o outcome
	o.served = (&Sound{Addr: g.addr, Rate: soundRate, Deadline: soundDeadline, Name: "s"}).Run(clientsCtx)
	o.peakMB = g.peakMB()
	o.afterClose, o.twice = judge(engines.Attempts(), closed)
	return o, nil
}

// gatewayProcess is the gateway of one picture.
type gatewayProcess struct {
	cmd  *exec.Cmd
	addr string
}

var errNotServing = errors.New("the gateway did not start to serve")

func startGateway(ctx context.Context, opt experiments.Options, engines *Engines, p picture) (*gatewayProcess, error) {
	dir := filepath.Join(opt.WorkDir, strings.ReplaceAll(p.name, " ", "-"))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	config := filepath.Join(dir, "config.json")
	text := fmt.Sprintf(`{"name":"g","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","limits":{"cores":1,"memory_mb":%d,"sockets":%d},"settings":%s,
		"known":{"revision":1,"complete":true,"members":[%s]}}`, p.memory(), sockets, settings, engines.Members())
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	for range p.burners {
		burner := exec.CommandContext(ctx, "taskset", "-c", gatewayCore, "sh", "-c", "while :; do :; done")
		if err := burner.Start(); err != nil {
			return nil, err
		}
		context.AfterFunc(ctx, func() { _ = burner.Wait() })
	}
	cmd := exec.CommandContext(ctx, "taskset", "-c", gatewayCore, opt.Program, "serve")
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+config, "TMPDIR="+dir)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	timeout := time.AfterFunc(startTimeout, func() { _ = cmd.Process.Kill() })
	defer timeout.Stop()
	in := bufio.NewReader(io.TeeReader(stderr, log))
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return nil, errors.Join(errNotServing, err)
		}
		var fields struct{ Message, Listen string }
		if json.Unmarshal([]byte(line), &fields) == nil && fields.Message == "serving" {
			go func() { _, _ = io.Copy(io.Discard, in); log.Close(); _ = cmd.Wait() }()
			return &gatewayProcess{cmd, fields.Listen}, nil
		}
	}
}

const settings = `{"az":"a","zones":["a"],"balancers":1,"kinds":["r","w"],"tick":4000,
	"classes":[{"name":"order","aim":1500000,"hard_limit":3000000,"effect":"single_shot","gain":1}],
	"family_info":{"duty_by_kind":["read","write"],"pin_limit":500000,"tokens_by_kind":[200000,200000]},
	"limits":{"send_cap":4,"cancelling":true,"conn_idle":15000000,"connect_timeout":1000000},
	"rules":{"answer_slack":16000,"fall":3000000,"fall_multiple":4,"cold_share":0.3,"cold":1000000}}`

// peakMB returns the highest resident memory of the process so far; 0 if it has ended.
func (g *gatewayProcess) peakMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes >> 10
		}
	}
	return 0
}
