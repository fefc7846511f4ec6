package routing

import (
	"errors"
	"strings"
	"testing"

	"wellgw/decide/setting"
)

func TestInvalidSettingsAreRejected(t *testing.T) {
	for field, invalidate := range map[string]func(*Settings){
		"Routers":     func(s *Settings) { s.Gateways = 0 },
		"Classes":     func(s *Settings) { s.Classes = nil },
		"Kinds":       func(s *Settings) { s.Kinds = nil },
		"MaxAttempts": func(s *Settings) { s.MaxAttempts = 0 },
		"PinLimit":    func(s *Settings) { s.HeldStateLimit = 0 },
		"Fall":        func(s *Settings) { s.OverloadWindow = 0 },
	} {
		s := testSettings()
		invalidate(&s)
		var settingError setting.Error
		if _, err := New(s, 1); !errors.As(err, &settingError) || !strings.Contains(settingError.Field, field) {
			t.Errorf("%s: error %v does not identify the setting", field, err)
		}
	}
}
