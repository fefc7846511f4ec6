package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"wellgw/decide/membership"
	"wellgw/internal/admin"
	"wellgw/internal/peers"
)

func peersCommand() *cli.Command {
	return &cli.Command{
		Name: "peers", Usage: "print the gateways of the tier as a running gateway now sees them",
		ArgsUsage: "[OPERATOR-FILE]", Flags: adminFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return printPage(ctx, cmd, admin.PeersPath, printPeers)
		},
	}
}

func printPeers(w io.Writer, s peers.Status) {
	gateways := newTable(w, "gateway", "address", "standing", "since", "incarnation", "heard", "round trip", "remarks")
	v := s.View
	gateways.AppendRow(table.Row{s.Name + " (this one)", s.Listen, v.Self.Status, "", v.Self.Incarnation, "", "", ""})
	for _, g := range v.Peers {
		remarks := ""
		if g.Status == membership.Suspect {
			remarks = fmt.Sprintf("%d accuse it; dead in %v ", g.SuspectedBy, g.SuspicionExpiresIn.Round(100*time.Millisecond))
		}
		if g.OneWay {
			remarks += "does not answer us, only others "
		}
		if !g.Stable {
			remarks += "comes and goes "
		}
		gateways.AppendRow(table.Row{g.ID, g.Addr, g.Status, formatAgo(s.Clock, g.StatusSince), g.Incarnation, formatAgo(s.Clock, g.LastHeard), g.RTT.Round(10 * time.Microsecond), remarks})
	}
	gateways.Render()
	fmt.Fprintf(w, "tier %s, view %d/%016x, key %s; %d gateways share the engines\n", s.Tier, v.Epoch, v.Digest, s.Key, v.ActiveGateways)
	if v.Minority {
		fmt.Fprintln(w, "a minority: those in reach are not more than half of all that may be there")
	}
	if v.Superseded {
		fmt.Fprintln(w, "silent: another process goes by this name")
	}
	if v.LocalHealth > 0 {
		fmt.Fprintf(w, "distrusts itself by %d: it was paused, or its own probes went unanswered\n", v.LocalHealth)
	}
	counts := s.Counts
	fmt.Fprintf(w, "datagrams: %d sent, %d received; dropped %d short, %d of another version, %d by unknown keys, %d by bad seals, %d replayed, %d unreadable, %d of earlier lives, %d for want of time\n",
		counts.Sent, counts.Received, counts.InvalidSize, counts.UnknownVersion, counts.UnknownKey, counts.BadSeal, counts.Replayed, counts.BadPayload, counts.StaleInstance, counts.QueueFull)
	fmt.Fprintf(w, "probes: %d, %d unanswered, %d answered by way of others; suspected %d, own refutations %d, deaths %d, own pauses %d\n",
		v.Stats.Probes, v.Stats.FailedProbes, v.Stats.IndirectAcks, v.Stats.Suspicions, v.Stats.Refutations, v.Stats.Deaths, v.Stats.Pauses)
}

// formatAgo formats the time from at to now, both read from the clock of the queried gateway.
func formatAgo(now, at time.Duration) string {
	return (now - at).Round(100*time.Millisecond).String() + " ago"
}
