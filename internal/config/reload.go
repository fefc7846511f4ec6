package config

import (
	"maps"
	"slices"

	jsoniter "github.com/json-iterator/go"

	"wellgw/internal/settings"
)

// startOnlyKeys are the keys of a configuration that describe one start of a process. They are not read by
// a reload, and a reloaded file may lack them.
var startOnlyKeys = []string{"known", "seed"}

// readClassKeys are the keys of a class that the gateway reads.
var readClassKeys = []string{"name", "aim", "effect", "group", "window", "gain", "hard_limit"}

// deduplicationKeys are the keys of a class that have a meaning only for the effect guarded.
var deduplicationKeys = []string{"group", "window"}

// jsonObject is a decoded JSON object. Reloads compare which keys two objects have: a file that lacks a key
// of the previous one is truncated or damaged rather than a new policy, and the zero value of a missing
// setting might permit more than the operator does.
type jsonObject map[string]any

// decodeKeys returns the object in a configuration's text, without the keys that only a start reads, and
// nil if the text is invalid.
func decodeKeys(raw []byte) jsonObject {
	var object jsonObject
	if jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, &object) != nil {
		return nil
	}
	for _, key := range startOnlyKeys {
		delete(object, key)
	}
	return object
}

// has reports whether a key is present with a value. Null and the empty string are no values: decoding
// gives them the same result as a missing key.
func (o jsonObject) has(key string) bool { return o[key] != nil && o[key] != "" }

// object returns the object under a key, nil if there is none.
func (o jsonObject) object(key string) jsonObject { return asObject(o[key]) }

// asObject returns a decoded value as an object, nil if it is none.
func asObject(value any) jsonObject {
	object, _ := value.(map[string]any)
	return object
}

// asObjects returns the elements of a decoded list as objects, nil for those that are none.
func asObjects(value any) []jsonObject {
	list, _ := value.([]any)
	objects := make([]jsonObject, 0, len(list))
	for _, element := range list {
		objects = append(objects, asObject(element))
	}
	return objects
}

// classes returns the objects in settings.classes.
func (o jsonObject) classes() []jsonObject { return asObjects(o.object("settings")["classes"]) }

// firstMissing returns the path of the first key that o has and later lacks, "" if there is none. It
// compares objects and, in lists, objects of the same name.
func (o jsonObject) firstMissing(path string, later jsonObject) string {
	for _, key := range slices.Sorted(maps.Keys(o)) {
		if !o.has(key) {
			continue
		}
		keyPath := joinPath(path, key)
		if !later.has(key) {
			return keyPath
		}
		if missing := firstMissingBelow(keyPath, o[key], later[key]); missing != "" {
			return missing
		}
	}
	return ""
}

// firstMissingBelow is like firstMissing for the values of a key.
func firstMissingBelow(path string, value, later any) string {
	if object := asObject(value); object != nil {
		return object.firstMissing(path, asObject(later))
	}
	objects := asObjects(value)
	for i, laterObject := range asObjects(later) {
		if allHave(objects, "name") && !laterObject.has("name") {
			return elementPath(path, i, "name")
		}
		if missing := namesake(objects, laterObject).firstMissing(elementPath(path, i, ""), laterObject); missing != "" {
			return missing
		}
	}
	return ""
}

// namesake returns the object that has the same name as another one, nil if there is none.
func namesake(objects []jsonObject, other jsonObject) jsonObject {
	for _, object := range objects {
		if object.name() != "" && object.name() == other.name() {
			return object
		}
	}
	return nil
}

// name returns the object's name, "" if it has none.
func (o jsonObject) name() string {
	name, _ := o["name"].(string)
	return name
}

// firstMissingInClasses returns the path of the first key that a class of later lacks though the gateway
// reads it and all classes of o have it, "" if there is none. It covers classes that are new.
func (o jsonObject) firstMissingInClasses(later jsonObject) string {
	for i, class := range later.classes() {
		for _, key := range readClassKeys {
			unused := slices.Contains(deduplicationKeys, key) && class["effect"] != settings.EffectGuarded
			if !unused && !class.has(key) && allHave(o.classes(), key) {
				return elementPath("settings.classes", i, key)
			}
		}
	}
	return ""
}

// allHave reports whether there are objects and each of them has a key.
func allHave(objects []jsonObject, key string) bool {
	lacksKey := func(object jsonObject) bool { return !object.has(key) }
	return len(objects) > 0 && !slices.ContainsFunc(objects, lacksKey)
}

// joinPath returns the path of a key in the object at path.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// checkDeadlines returns an error for a deadline that is set and not above 0. The routing policy validates
// the latency objectives and the limit of attempts.
func (p *Platform) checkDeadlines() error {
	objects := p.keys.classes()
	for i, class := range p.Options.Classes {
		deadlineSet := i < len(objects) && objects[i].has("hard_limit")
		if class.Limit < 0 || class.Limit == 0 && deadlineSet {
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
	if key := p.keys.firstMissing("", next.keys); key != "" {
		return nil, fieldError(key, "missing")
	}
	if key := p.keys.firstMissingInClasses(next.keys); key != "" {
		return nil, fieldError(key, "missing")
	}
	if err := next.checkDeadlines(); err != nil {
		return nil, err
	}
	return next, nil
}
