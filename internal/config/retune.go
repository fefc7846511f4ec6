package config

import (
	"bytes"
	"errors"
	"fmt"

	jsoniter "github.com/json-iterator/go"
)

// keys of the settings that a file read anew must still have where the first one
// had them: a file that lost one of them is cut off or broken, not a new policy.
var classKeys = []string{"name", "aim", "effect", "hard_limit"}

// shape records which of the keys that matter a configuration's text has.
type shape struct {
	settings, classes, attempts bool
	classKeys                   map[string]bool // present in every class
}

func shapeOf(raw []byte) shape {
	var doc struct {
		Settings *struct {
			Classes []map[string]jsoniter.RawMessage `json:"classes"`
			Limits  map[string]jsoniter.RawMessage   `json:"limits"`
		} `json:"settings"`
	}
	var s shape
	if jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, &doc) != nil || doc.Settings == nil {
		return s
	}
	s.settings, s.classes = true, len(doc.Settings.Classes) > 0
	_, s.attempts = doc.Settings.Limits["send_cap"]
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
	case was.attempts && !now.attempts:
		return "settings.limits.send_cap"
	}
	for _, k := range classKeys {
		if was.classKeys[k] && !now.classKeys[k] {
			return "settings.classes[]." + k
		}
	}
	return ""
}

// checkTuning refuses deadlines and attempts that are not over 0.
func (p *Platform) checkTuning() error {
	for i, c := range p.Options.Classes {
		if c.Limit < 0 || c.Limit == 0 && p.shape.classKeys["hard_limit"] {
			return fmt.Errorf("settings.classes[%d].hard_limit: must be over 0", i)
		}
		if c.Aim <= 0 {
			return fmt.Errorf("settings.classes[%d].aim: must be over 0", i)
		}
	}
	if p.Options.Limits.SendCap <= 0 {
		return fmt.Errorf("settings.limits.send_cap: must be over 0")
	}
	return nil
}

// Anew reads the configuration again for a gateway that runs under p. Beside the
// checks of ReadPlatform, a key that p's file had and the new one lacks is an
// error, and so is a deadline or a number of attempts that is not over 0. On an
// error p stays as it was.
func (p *Platform) Anew(env func(string) string) (*Platform, error) {
	raw, err := readObject(env)
	if err != nil {
		return nil, err
	}
	if len(bytes.TrimSpace(raw)) == 0 {
		return nil, errors.New("EDGE_CONFIG: the file is empty")
	}
	if !jsoniter.ConfigCompatibleWithStandardLibrary.Valid(raw) {
		return nil, errors.New("EDGE_CONFIG: not whole JSON: cut off or broken")
	}
	if key := p.shape.lacks(shapeOf(raw)); key != "" {
		return nil, fmt.Errorf("%s: missing", key)
	}
	next, err := parsePlatform(raw, env, false)
	if err != nil {
		return nil, err
	}
	if err := next.checkTuning(); err != nil {
		return nil, err
	}
	return next, nil
}
