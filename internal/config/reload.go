package config

import (
	jsoniter "github.com/json-iterator/go"
)

// requiredClassKeys are the keys of a class that a reloaded file must have if the previous file had them: a
// file that lacks one of them is truncated or damaged rather than a new policy.
var requiredClassKeys = []string{"name", "aim", "effect", "hard_limit"}

// presentKeys records which of the keys that a reload must not remove are present in a configuration's text.
type presentKeys struct {
	settings, classes bool
	inEveryClass      map[string]bool // keys that every class has
}

// presentKeysOf returns the keys that are present in a text, none if it is invalid.
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
	present.inEveryClass = map[string]bool{}
	for _, k := range requiredClassKeys {
		inAll := present.classes
		for _, c := range doc.Settings.Classes {
			_, has := c[k]
			inAll = inAll && has
		}
		present.inEveryClass[k] = inAll
	}
	return present
}

// firstMissing returns the first key that is present in the earlier text and missing in the later one, "" if
// there is none.
func (k presentKeys) firstMissing(later presentKeys) string {
	switch {
	case k.settings && !later.settings:
		return "settings"
	case k.classes && !later.classes:
		return "settings.classes"
	}
	for _, key := range requiredClassKeys {
		if k.inEveryClass[key] && !later.inEveryClass[key] {
			return "settings.classes[]." + key
		}
	}
	return ""
}

// checkDeadlines returns an error for a deadline that is set and not above 0. The routing policy validates
// the latency objectives and the limit of attempts.
func (p *Platform) checkDeadlines() error {
	for i, c := range p.Options.Classes {
		if c.Limit < 0 || c.Limit == 0 && p.present.inEveryClass["hard_limit"] {
			return fieldError(elementPath("settings.classes", i, "hard_limit"), "must be over 0")
		}
	}
	return nil
}

// Reload reads the configuration again for a gateway that runs with p. In addition to the errors of
// ReadPlatform, it returns an error if a key that p's text has is missing or a deadline is not above 0. It
// does not change p.
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
