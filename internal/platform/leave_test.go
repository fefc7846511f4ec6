package platform

import (
	"net/http"
	"testing"

	"wellgw/decide/lifecycle"
	"wellgw/internal/enginetest"
)

// A process on standby still serves requests, but its health checks fail and every response closes its
// connection. Both end with the return to full service.
func TestStandby(t *testing.T) {
	addr, _, _, _, f := gatewayFront(t, prefilled, func(enginetest.Call) string { return enginetest.Stream(2, 0) })
	url := "http://" + addr
	health := func() (int, bool) {
		resp, err := http.Get(url + "/healthz")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode, resp.Close
	}
	if code, _ := health(); code != http.StatusOK {
		t.Fatalf("before standby: status %d", code)
	}
	f.SetService(lifecycle.Service{Draining: true, Listening: true})
	if code, closes := health(); code != http.StatusServiceUnavailable || !closes {
		t.Errorf("standby: status %d, connection closed %v", code, closes)
	}
	f.SetService(lifecycle.FullService())
	if code, closes := health(); code != http.StatusOK || closes {
		t.Errorf("active: status %d, connection closed %v", code, closes)
	}
}
