package config

import (
	"errors"
	"os"
	"strings"
	"testing"

	"wellgw/decide/setting"
)

const platformText = `{"name":"n1","listen":"127.0.0.1:3000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
	"known":{"revision":41,"complete":true,"members":[{"id":"a","host_port":"127.0.0.1:1","phase":"active"}]},
	"settings":{"balancers":1,"classes":[{"name":"c","aim":1000000,"effect":"single_shot","hard_limit":4000000}],
		"kinds":["m"],"family_info":{"duty_by_kind":["both"],"pin_limit":500000},"limits":{"send_cap":4},
		"rules":{"fall":3000000,"fall_multiple":4,"cold_share":0.3}}}`

// The error for an invalid setting must name its field and must be a single line.
func TestErrorsNameTheField(t *testing.T) {
	operator, err := os.ReadFile("../../deploy/operator.json")
	if err != nil {
		t.Fatal(err)
	}
	noEnv := func(string) string { return "" }
	platform := func(text string) error { _, err := ParsePlatform([]byte(text), noEnv); return err }
	chat := func(text string) error { _, err := ParseOperator([]byte(text)); return err }
	for _, c := range []struct {
		parse                func(string) error
		text, old, new, want string
	}{
		{platform, platformText, "", "", ""},
		{platform, platformText, `{"name"`, `{name`, "EDGE_CONFIG"},
		{platform, platformText, `"127.0.0.1:3000"`, `"nowhere"`, "listen"},
		{platform, platformText, `"127.0.0.1:8500"`, `""`, "discovery"},
		{platform, platformText, `8c1f30d27a5be964`, `seed`, "seed"},
		{platform, platformText, `"send_cap":4`, `"send_cap":0`, "settings: MaxAttempts"},
		{platform, platformText, `"pin_limit":500000`, `"pin_limit":0`, "settings.family_info.pin_limit"},
		{platform, platformText, `"pin_limit":500000`, `"pin_limit":-1`, "settings.family_info.pin_limit"},
		{platform, platformText, `,"pin_limit":500000`, ``, "settings.family_info.pin_limit"},
		{platform, platformText, `"pin_limit":500000`, `"pin_limit":"soon"`, "EDGE_CONFIG"},
		{platform, platformText, `"pin_limit":500000`, `"pin_limit":9223372036854775807`, ""},
		{chat, string(operator), "", "", ""},
		{chat, string(operator), `"listen"`, `"lisen"`, "lisen"},
		{chat, string(operator), `127.0.0.1:8080`, `8080`, "listen"},
		{chat, string(operator), `"free"`, `"often"`, "contracts[0].effect"},
		{chat, string(operator), `"aim_ms": 1000,`, `"aim_ms": 0,`, "contracts[0]"},
		{chat, string(operator), `"contract": "place-order"`, `"contract": "x"`, "models[1].contract"},
		{chat, string(operator), `change-me-boatyards`, `change-me-counter`, "teams[1].keys"},
		{chat, string(operator), `["parts-assistant"]`, `["x"]`, "teams[1].models"},
		{chat, string(operator), `"requests_per_s": 2`, `"requests_per_s": -2`, "teams[1].requests_per_s"},
		{chat, string(operator), `"role": "openai"`, `"role": "x"`, "engines[0].role"},
		{chat, string(operator), `127.0.0.1:9001`, `x`, "engines[0].address"},
		{chat, string(operator), `"engines"`, `"consul": {"address": "127.0.0.1:8500"}, "engines"`, "consul"},
		{chat, string(operator), `"engines"`, `"consul": {"service": "x"}, "engines"`, "consul.address"},
		{chat, string(operator), `"engines"`, `"consul": {"addresses": ["127.0.0.1:1", "x"], "service": "x"}, "engines"`, "consul.addresses[1]"},
		{chat, string(operator), `"engines"`, `"consul": {"address": "127.0.0.1:1", "service": "x", "hold_ms": -1}, "engines"`, "consul.hold_ms"},
		{chat, string(operator), `"engines"`, `"consul": {"address": "127.0.0.1:1", "service": "x", "hold_ms": "9s"}, "engines"`, "consul.hold_ms"},
		{chat, string(operator), `"engines"`, `"consul": {"address": "127.0.0.1:1", "service": "x", "consistency": "loose"}, "engines"`, "consul.consistency"},
		{chat, string(operator), `"engines"`, `"consul": {"address": "127.0.0.1:1", "service": "x", "check_path": "healthz"}, "engines"`, "consul.check_path"},
		{chat, string(operator), `"engines"`, `"consul": {"address": "127.0.0.1:1", "service": "x", "tls": {"cert_file": "x"}}, "engines"`, "consul.tls"},
		{chat, string(operator), `"engines"`, `"consul": {"address": "127.0.0.1:1", "service": "x", "register": {"id": "x"}}, "engines"`, "consul.register.name"},
		{chat, string(operator), `"engines"`, `"consul": {"address": "127.0.0.1:1", "service": "x", "register": {"name": "x", "ttl_ms": 9}}, "engines"`, "consul.register.ttl_ms"},
		{chat, string(operator), `"engines"`, `"consul": {"address": "127.0.0.1:1", "service": "x", "tag": "y"}, "engines"`, ""},
		{chat, string(operator), `"engines"`, `"state_file": "x", "engines"`, "state_file"},
		{chat, string(operator), `"engines"`, `"admin": {"listen": "x"}, "engines"`, "admin.listen"},
	} {
		if !strings.Contains(c.text, c.old) {
			t.Fatalf("%q is not in the configuration", c.old)
		}
		err := c.parse(strings.Replace(c.text, c.old, c.new, 1))
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%s -> %s: error %v, want one that names %q on one line", c.old, c.new, err, c.want)
		}
		if field := fieldOf(err); c.want != "" && (field == "" || !strings.HasSuffix(c.want, field) && !strings.HasPrefix(field, c.want)) {
			t.Errorf("%s -> %s: error %v has field %q, want %q", c.old, c.new, err, field, c.want)
		}
	}
}

// fieldOf returns the field that an error names by its type: a setting of the routing policy, or a field of
// the configuration.
func fieldOf(err error) string {
	var settingErr setting.Error
	var field FieldError
	switch {
	case errors.As(err, &settingErr):
		return settingErr.Field
	case errors.As(err, &field):
		return field.Field
	}
	return ""
}

func TestEnvironmentTakesPrecedence(t *testing.T) {
	p, err := ParsePlatform([]byte(platformText), func(name string) string {
		return map[string]string{"EDGE_LISTEN": "127.0.0.1:4000"}[name]
	})
	if err != nil || p.Listen != "127.0.0.1:4000" || p.Discovery != "127.0.0.1:8500" || p.Limits.Sockets != defaultSockets {
		t.Errorf("%+v, %v", p, err)
	}
}
