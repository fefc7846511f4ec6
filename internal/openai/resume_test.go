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

// Answers that break go on at another engine if their contract says so: what the client
// has in the end is the answer, without a gap and without a repeat, its events numbered.
func TestResumeBrokenAnswer(t *testing.T) {
	const tokens, asked = 12, 40
	for _, role := range []string{config.RoleOpenAI, config.RoleBoth} {
		served := map[int]int{}
		for _, times := range []int{0, 4} {
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
			file := strings.Replace(operator, `"effect": "free",`, fmt.Sprintf(`"effect": "free", "continue": %d,`, times), 1)
			url, _ := serve(t, file, members)
			want := ""
			for i := range tokens {
				want += fmt.Sprintf("t%d ", i)
			}
			for n := range asked {
				stream := n%2 == 0
				resp, err := chat(t, url, "k1", "parts", stream)
				if err != nil {
					t.Fatal(err)
				}
				all, _ := io.ReadAll(resp.Body)
				resp.Body.Close()
				switch {
				case stream && bytes.HasSuffix(all, []byte("data: [DONE]\n\n")):
					r := newRewriter(testHead, false, true)
					if _, err := r.translate(nil, all); err != nil {
						t.Fatal(err)
					}
					if said, _ := r.state.Text(); string(said) != want {
						t.Errorf("%q", said)
					}
					for i := 0; times > 0 && i < r.state.SentEvents(); i++ {
						if !bytes.Contains(all, fmt.Appendf(nil, "id: %d\ndata: {", i)) {
							t.Errorf("event %d is missing:\n%s", i, all)
						}
					}
					served[times]++
				case !stream && resp.StatusCode == 200:
					if !bytes.Contains(all, []byte(`"content":"`+want+`"`)) {
						t.Errorf("%s", all)
					}
					served[times]++
				}
			}
		}
		if served[4] <= served[0] || served[4] < asked*3/4 {
			t.Errorf("%s: %d of %d served, %d without going on", role, served[4], asked, served[0])
		}
	}
}
