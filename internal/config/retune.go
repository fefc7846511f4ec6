package config

import (
	jsoniter "github.com/json-iterator/go"
)

// keys of the settings that a file read anew must still have where the first one
// had them: a file that lost one of them is cut off or broken, not a new policy.
var classKeys = []string{"name", "aim", "effect", "hard_limit"}

// shape records which of the keys that matter a configuration's text has.
type shape struct {
	settings, classes bool
	classKeys         map[string]bool // present in every class
}

func shapeOf(raw []byte) shape {
	var doc struct {
		Settings *struct {
			Classes []map[string]jsoniter.RawMessage `json:"classes"`
		} `json:"settings"`
	}
	var s shape
	if jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, &doc) != nil || doc.Settings == nil {
		return s
	}
	s.settings, s.classes = true, len(doc.Settings.Classes) > 0
	s.classKeys = map[string]bool{}
	for _, k := range classKeys {
		all := s.classes
		for _, c := range doc.Settings.Classes {
			_, has := c[k]
			all = all && has
		}
		s.classKeys[k] = all
	}
	return s
}

// lacks names the first key that was has and now lacks; "" for none.
func (was shape) lacks(now shape) string {
	switch {
	case was.settings && !now.settings:
		return "settings"
	case was.classes && !now.classes:
		return "settings.classes"
	}
	for _, k := range classKeys {
		if was.classKeys[k] && !now.classKeys[k] {
			return "settings.classes[]." + k
		}
	}
	return ""
}

// checkDeadlines refuses a deadline that is given and not over 0. Aims and
// attempts not over 0 are refused by the module's own check of the settings.
func (p *Platform) checkDeadlines() error {
	for i, c := range p.Options.Classes {
		if c.Limit < 0 || c.Limit == 0 && p.shape.classKeys["hard_limit"] {
			return fieldError(element("settings.classes", i, "hard_limit"), "must be over 0")
		}
	}
	return nil
}

// Anew reads the configuration again for a gateway that runs under p. Beside the
// checks of ReadPlatform, a key that p's file had and the new one lacks is an
// error, and so is a deadline that is not over 0. On an
// error p stays as it was.
func (p *Platform) Anew(env func(string) string) (*Platform, error) {
	next, err := ReadPlatformAnew(env)
	if err != nil {
		return nil, err
	}
	if key := p.shape.lacks(next.shape); key != "" {
		return nil, fieldError(key, "missing")
	}
	if err := next.checkDeadlines(); err != nil {
		return nil, err
	}
	return next, nil
}
