package platform

import (
	"net/http"
	"testing"

	"wellgw/decide/lifecycle"
	"wellgw/internal/enginetest"
)

// Standby turns health to no, with every answer closing its connection, and
// back; requests are still served meanwhile.
func TestStandby(t *testing.T) {
	addr, _, _, _, f := gatewayFront(t, read, func(enginetest.Call) string { return enginetest.Stream(2, 0) })
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
		t.Fatalf("before: %d", code)
	}
	f.SetService(lifecycle.Service{Draining: true, Listening: true})
	if code, closes := health(); code != http.StatusServiceUnavailable || !closes {
		t.Errorf("standby: %d, connection closed %v", code, closes)
	}
	f.SetService(lifecycle.FullService())
	if code, closes := health(); code != http.StatusOK || closes {
		t.Errorf("active: %d, connection closed %v", code, closes)
	}
}
