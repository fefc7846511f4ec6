package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"wellgw/routing"
)

// fullPlatformText has a value for each section of the platform's document and for keys that the gateway
// does not read.
const fullPlatformText = `{"name":"n1","listen":"127.0.0.1:3000","discovery":"127.0.0.1:8500","control":"127.0.0.1:9100",
	"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},
	"peer_listen":"127.0.0.1:7946","peers":["127.0.0.1:7946"],
	"known":{"revision":41,"complete":true,"members":[{"id":"a","host_port":"127.0.0.1:1","phase":"active"}]},
	"settings":{"az":"a","zones":["a","b"],"balancers":1,"clients":{"marks_retry":true},"kinds":["m"],"me":0,
		"classes":[
			{"name":"c","aim":1000000,"effect":"guarded","group":"zone","window":5000000,"gain":2,"hard_limit":4000000,"late_worth":0.5},
			{"name":"d","aim":2000000,"effect":"single_shot","group":"all","window":5000000,"gain":1,"hard_limit":9000000,"late_worth":0.1}],
		"family_info":{"aim_us_per_1000_prompt_tokens":[40000,40000],"duty_by_kind":["both"],"local_read":false,"pin_limit":500000,
			"resume":true,"token_aim":[60000,80000],"tokens_by_kind":[200000]},
		"limits":{"cancelling":true,"conn_idle":15000000,"connect_timeout":250000,"max_retry_after":2000000,"peers":true,"probes":true,"retry_after":true,"send_cap":4},
		"membership_mode":"automatic","report":{"columns":["queue"],"source":"pull"},"over_share_worth":0.1,
		"rules":{"answer_slack":16000,"cold":14000000,"cold_share":0.3,"drain_grace":2000000,"fall":3000000,"fall_multiple":4},
		"tenants":[{"name":"t","quota_per_s":5}],"tick":4000}}`

// validatedAs are the fields of errors about missing keys and sections that are validated at a start too.
var validatedAs = map[string]string{
	"settings": "settings.family_info.pin_limit", "family_info": "settings.family_info.pin_limit",
	"rules": "Fall, FallMultiple, ColdShare", "fall": "Fall, FallMultiple, ColdShare",
	"fall_multiple": "Fall, FallMultiple, ColdShare", "cold_share": "Fall, FallMultiple, ColdShare",
	"limits": "MaxAttempts", "send_cap": "MaxAttempts", "balancers": "Routers",
	"classes": "Classes", "aim": "Classes", "kinds": "Kinds",
}

// reloadFixture is a running configuration whose file a test replaces.
type reloadFixture struct {
	running *Platform
	path    string
	env     func(string) string
}

// startWith reads a configuration as a process does at its start. The environment names other addresses.
func startWith(t *testing.T, text string) *reloadFixture {
	t.Helper()
	f := &reloadFixture{path: filepath.Join(t.TempDir(), "config.json")}
	environment := map[string]string{"EDGE_CONFIG": f.path, "EDGE_NAME": "n1", "EDGE_LISTEN": "127.0.0.1:3000", "EDGE_DISCOVERY": "127.0.0.1:8500", "EDGE_CONTROL": "127.0.0.1:9100"}
	f.env = func(name string) string { return environment[name] }
	f.write(t, text)
	running, err := ReadPlatform(f.env)
	if err != nil {
		t.Fatal(err)
	}
	f.running = running
	return f
}

func (f *reloadFixture) write(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(f.path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// keyPaths returns the paths of all keys of a decoded value, with the indices of list elements.
func keyPaths(path []any, value any) [][]any {
	var paths [][]any
	switch value := value.(type) {
	case map[string]any:
		for key, below := range value {
			keyPath := append(slices.Clone(path), key)
			paths = append(append(paths, keyPath), keyPaths(keyPath, below)...)
		}
	case []any:
		for i, element := range value {
			paths = append(paths, keyPaths(append(slices.Clone(path), i), element)...)
		}
	}
	return paths
}

// edit returns a text in which edit has changed the object that has the last key of path.
func edit(t *testing.T, text string, path []any, edit func(object map[string]any, key string)) string {
	t.Helper()
	var document any
	if err := json.Unmarshal([]byte(text), &document); err != nil {
		t.Fatal(err)
	}
	value := document
	for _, step := range path[:len(path)-1] {
		if key, isKey := step.(string); isKey {
			value = value.(map[string]any)[key]
		} else {
			value = value.([]any)[step.(int)]
		}
	}
	edit(value.(map[string]any), path[len(path)-1].(string))
	edited, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	return string(edited)
}

// A file without one key of the previous file used to be applied at SIGHUP, with the zero value of the
// missing setting: without its group, a guarded request ran in two zones.
func TestReloadRejectsMissingKey(t *testing.T) {
	f := startWith(t, fullPlatformText)
	var document any
	if err := json.Unmarshal([]byte(fullPlatformText), &document); err != nil {
		t.Fatal(err)
	}
	paths := keyPaths(nil, document)
	if len(paths) < 60 {
		t.Fatalf("only %d keys", len(paths))
	}
	for _, path := range paths {
		key, isKey := path[len(path)-1].(string)
		if !isKey || path[0] == "known" || path[0] == "seed" {
			continue
		}
		for change, apply := range map[string]func(map[string]any, string){
			"missing": func(object map[string]any, key string) { delete(object, key) },
			"null":    func(object map[string]any, key string) { object[key] = nil },
		} {
			f.write(t, edit(t, fullPlatformText, path, apply))
			_, err := f.running.Reload(f.env)
			if err == nil {
				t.Errorf("%v %s: the file is accepted", path, change)
				continue
			}
			if field := fieldOf(err); !strings.HasSuffix(field, key) && field != validatedAs[key] {
				t.Errorf("%v %s: error %v has field %q", path, change, err, field)
			}
		}
	}
}

// An empty string decodes like a missing key, so it is rejected too.
func TestReloadRejectsEmptyValue(t *testing.T) {
	f := startWith(t, fullPlatformText)
	for old, want := range map[string]string{
		`"group":"zone"`: "settings.classes[0].group", `"effect":"guarded"`: "settings.classes[0].effect",
		`"discovery":"127.0.0.1:8500"`: "discovery", `"az":"a"`: "settings.az",
	} {
		key, _, _ := strings.Cut(old, ":")
		f.write(t, strings.Replace(fullPlatformText, old, key+`:""`, 1))
		if _, err := f.running.Reload(f.env); err == nil || fieldOf(err) != want {
			t.Errorf("%s empty: error %v, want one that names %s", key, err, want)
		}
	}
}

// A class used to lose a key unnoticed if another class had never had it.
func TestReloadComparesClassesByName(t *testing.T) {
	first := strings.Replace(fullPlatformText, `"group":"all",`, "", 1)
	f := startWith(t, first)
	f.write(t, strings.Replace(first, `"hard_limit":4000000,`, "", 1))
	if _, err := f.running.Reload(f.env); fieldOf(err) != "settings.classes[0].hard_limit" {
		t.Errorf("deadline: error %v", err)
	}
	f.write(t, strings.Replace(first, `"group":"zone",`, "", 1))
	if _, err := f.running.Reload(f.env); fieldOf(err) != "settings.classes[0].group" {
		t.Errorf("group: error %v", err)
	}
	f.write(t, first)
	if _, err := f.running.Reload(f.env); err != nil {
		t.Errorf("the same file: %v", err)
	}
}

// A class that is new must have the keys that the gateway reads and all former classes have.
func TestReloadOfNewClass(t *testing.T) {
	const end = `"late_worth":0.1}]`
	for name, c := range map[string]struct{ class, field string }{
		"free, without group and window": {`{"name":"e","aim":1000000,"effect":"free","gain":1,"hard_limit":4000000}`, ""},
		"guarded, complete":              {`{"name":"e","aim":1000000,"effect":"guarded","group":"cell","window":1,"gain":1,"hard_limit":4000000}`, ""},
		"guarded, without group":         {`{"name":"e","aim":1000000,"effect":"guarded","window":1,"gain":1,"hard_limit":4000000}`, "settings.classes[2].group"},
		"guarded, without window":        {`{"name":"e","aim":1000000,"effect":"guarded","group":"cell","gain":1,"hard_limit":4000000}`, "settings.classes[2].window"},
		"without effect":                 {`{"name":"e","aim":1000000,"gain":1,"hard_limit":4000000}`, "settings.classes[2].effect"},
		"without name":                   {`{"aim":1000000,"effect":"free","gain":1,"hard_limit":4000000}`, "settings.classes[2].name"},
		"name of another type":           {`{"name":["e"],"aim":1000000,"effect":"free","gain":1,"hard_limit":4000000}`, "EDGE_CONFIG"},
	} {
		f := startWith(t, fullPlatformText)
		f.write(t, strings.Replace(fullPlatformText, end, strings.TrimSuffix(end, "]")+","+c.class+"]", 1))
		if _, err := f.running.Reload(f.env); (err == nil) != (c.field == "") || err != nil && fieldOf(err) != c.field {
			t.Errorf("%s: error %v, want the field %q", name, err, c.field)
		}
	}
}

// A file that only changes values, drops a class, adds keys or lacks what only a start reads is accepted.
func TestReloadAcceptsCompleteFile(t *testing.T) {
	f := startWith(t, fullPlatformText)
	classes := []any{"settings", "classes"}
	for name, text := range map[string]string{
		"other values":    strings.NewReplacer(`"send_cap":4`, `"send_cap":2`, `"effect":"guarded"`, `"effect":"free"`, `127.0.0.1:8500`, `127.0.0.1:8600`).Replace(fullPlatformText),
		"values of 0":     strings.NewReplacer(`"gain":2`, `"gain":0`, `"cancelling":true`, `"cancelling":false`).Replace(fullPlatformText),
		"additional keys": strings.Replace(fullPlatformText, `"tick":4000`, `"tick":4000,"other":{"a":1}`, 1),
		"a class less":    edit(t, fullPlatformText, classes, func(o map[string]any, key string) { o[key] = o[key].([]any)[1:] }),
		"other order":     edit(t, fullPlatformText, classes, func(o map[string]any, key string) { slices.Reverse(o[key].([]any)) }),
		"no tenants":      strings.Replace(fullPlatformText, `[{"name":"t","quota_per_s":5}]`, `[]`, 1),
		"no known list":   edit(t, fullPlatformText, []any{"known"}, func(o map[string]any, key string) { delete(o, key) }),
		"no seed":         edit(t, fullPlatformText, []any{"seed"}, func(o map[string]any, key string) { delete(o, key) }),
	} {
		f.write(t, text)
		if _, err := f.running.Reload(f.env); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A first file whose class lacks its effect, or a guarded class its group, used to permit repetitions.
func TestUnknownEffectPermitsNoRepetition(t *testing.T) {
	for text, want := range map[string]routing.Effect{
		`"effect":"free"`:                     routing.EffectIdempotent,
		`"effect":"guarded","group":"all"`:    routing.EffectDeduplicated,
		`"effect":"guarded","group":"zone"`:   routing.EffectDeduplicated,
		`"effect":"guarded","group":"cell"`:   routing.EffectDeduplicated,
		`"effect":"guarded","group":"bay"`:    routing.EffectDeduplicated,
		`"effect":"guarded","group":"planet"`: routing.EffectAtMostOnce,
		`"effect":"guarded"`:                  routing.EffectAtMostOnce,
		`"effect":"single_shot"`:              routing.EffectAtMostOnce,
		`"effect":"often"`:                    routing.EffectAtMostOnce,
		`"effect":""`:                         routing.EffectAtMostOnce,
		`"gain":1`:                            routing.EffectAtMostOnce,
	} {
		p, err := ParsePlatform([]byte(strings.Replace(platformText, `"effect":"single_shot"`, text, 1)), func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		if got := p.Settings().Classes[0].Effect; got != want {
			t.Errorf("%s: effect %v, want %v", text, got, want)
		}
	}
}
