package openai

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"

	"wellgw/fake/engine"
	"wellgw/internal/config"
	"wellgw/internal/core"
	"wellgw/routing"
)

// With a contract that allows it, broken answers are continued at another engine. The client gets the
// complete text without gaps or repetitions, in events with consecutive ids. More requests must
// succeed than without continuation, and at least three in four.
func TestResumeBrokenAnswer(t *testing.T) {
	const tokens, requests = 12, 40
	for _, role := range []string{config.RoleOpenAI, config.RoleBoth} {
		succeeded := map[int]int{}
		for _, maxContinuations := range []int{0, 4} {
			fleet := engine.NewFleet()
			t.Cleanup(fleet.Close)
			var members []core.Endpoint
			for i := range 4 {
				e, err := fleet.Start(engine.Options{ID: fmt.Sprint("e", i), Role: role, Tokens: tokens, Burst: true, CutFraction: 0.5, Seed: uint64(i)}, true)
				if err != nil {
					t.Fatal(err)
				}
				members = append(members, core.Endpoint{EngineInfo: routing.EngineInfo{Name: e.ID, Kind: role, Zone: "a", Weight: 1}, Addr: e.Addr()})
			}
			file := strings.Replace(operator, `"effect": "free",`, fmt.Sprintf(`"effect": "free", "continue": %d,`, maxContinuations), 1)
			url, _ := serve(t, file, members)
			want := ""
			for i := range tokens {
				want += fmt.Sprintf("t%d ", i)
			}
			for n := range requests {
				stream := n%2 == 0
				resp, err := chat(t, url, "k1", "parts", stream)
				if err != nil {
					t.Fatal(err)
				}
				all, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				switch {
				case stream && bytes.HasSuffix(all, []byte("data: [DONE]\n\n")):
					r := newRewriter(testMetadata, false, true)
					if _, err := r.translate(nil, all); err != nil {
						t.Fatal(err)
					}
					if streamed, _ := r.state.Text(); string(streamed) != want {
						t.Errorf("streamed text %q, want %q", streamed, want)
					}
					for i := 0; maxContinuations > 0 && i < r.state.SentEvents(); i++ {
						if !bytes.Contains(all, fmt.Appendf(nil, "id: %d\ndata: {", i)) {
							t.Errorf("event with id %d is missing:\n%s", i, all)
						}
					}
					succeeded[maxContinuations]++
				case !stream && resp.StatusCode == 200:
					if !bytes.Contains(all, []byte(`"content":"`+want+`"`)) {
						t.Errorf("answer %s, want content %q", all, want)
					}
					succeeded[maxContinuations]++
				}
			}
		}
		if succeeded[4] <= succeeded[0] || succeeded[4] < requests*3/4 {
			t.Errorf("%s: %d of %d requests succeeded, %d without continuation", role, succeeded[4], requests, succeeded[0])
		}
	}
}
