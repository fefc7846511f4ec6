package config

import (
	jsoniter "github.com/json-iterator/go"
)

// classKeys are the keys of a class that a reloaded file must still have if the first one had
// them: a file without them is truncated or broken, not a new policy.
var classKeys = []string{"name", "aim", "effect", "hard_limit"}

// presentKeys records which of the keys that a reload must not lose a configuration's text has.
type presentKeys struct {
	settings, classes bool
	classKeys         map[string]bool // present in every class
}

// presentKeysOf reads the keys of a text, none of one that is not valid.
func presentKeysOf(raw []byte) presentKeys {
	var doc struct {
		Settings *struct {
			Classes []map[string]jsoniter.RawMessage `json:"classes"`
		} `json:"settings"`
	}
	var present presentKeys
	if jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, &doc) != nil || doc.Settings == nil {
		return present
	}
	present.settings, present.classes = true, len(doc.Settings.Classes) > 0
	present.classKeys = map[string]bool{}
	for _, k := range classKeys {
		inAll := present.classes
		for _, c := range doc.Settings.Classes {
			_, has := c[k]
			inAll = inAll && has
		}
		present.classKeys[k] = inAll
	}
	return present
}

// firstMissing returns the first key that the earlier text had and the later one lacks, "" for
// none.
func (k presentKeys) firstMissing(later presentKeys) string {
	switch {
	case k.settings && !later.settings:
		return "settings"
	case k.classes && !later.classes:
		return "settings.classes"
	}
	for _, key := range classKeys {
		if k.classKeys[key] && !later.classKeys[key] {
			return "settings.classes[]." + key
		}
	}
	return ""
}

// checkDeadlines returns an error for a deadline that is given and not over 0. Aims and attempts
// are checked by the routing policy's own validation.
func (p *Platform) checkDeadlines() error {
	for i, c := range p.Options.Classes {
		if c.Limit < 0 || c.Limit == 0 && p.present.classKeys["hard_limit"] {
			return fieldError(elementPath("settings.classes", i, "hard_limit"), "must be over 0")
		}
	}
	return nil
}

// Reload reads the configuration again for a gateway that runs under p. Beside what ReadPlatform
// checks, it is an error if the file lacks a key that p's had, or has a deadline that is not over
// 0. p is not changed.
func (p *Platform) Reload(env func(string) string) (*Platform, error) {
	next, err := rereadPlatform(env)
	if err != nil {
		return nil, err
	}
	if key := p.present.firstMissing(next.present); key != "" {
		return nil, fieldError(key, "missing")
	}
	if err := next.checkDeadlines(); err != nil {
		return nil, err
	}
	return next, nil
}
