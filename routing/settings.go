package routing

import (
	"fmt"
	"slices"

	"wellgw/decide/setting"
)

// Reconfigure replaces the classes and the maximum number of attempts of a running router. Existing requests
// retain the class and the number of attempts from their arrival. A class that is no longer configured
// remains available with its last settings for requests that still use it. The error identifies the
// invalid setting; in that case nothing changes.
func (r *Router) Reconfigure(classes []Class, attempts int) error {
	next := r.set
	next.Classes, next.MaxAttempts = slices.Clone(classes), attempts
	if err := validate(&next); err != nil {
		return err
	}
	for _, old := range r.set.Classes {
		if !slices.ContainsFunc(classes, func(c Class) bool { return c.Name == old.Name }) {
			next.Classes = append(next.Classes, old)
		}
	}
	r.set.Classes, r.set.MaxAttempts = next.Classes, attempts
	r.indexClasses()
	return nil
}

func validate(s *Settings) error {
	switch {
	case s.Gateways < 1:
		return setting.New("Routers", "must be at least 1")
	case len(s.Classes) == 0:
		return setting.New("Classes", "none given")
	case len(s.Kinds) == 0:
		return setting.New("Kinds", "none given")
	case s.MaxAttempts < 1:
		return setting.New("MaxAttempts", "must be at least 1")
	case s.HeldStateLimit <= 0:
		return setting.New("PinLimit", "must be above 0")
	case s.OverloadWindow <= 0 || s.OverloadMultiple <= 0 || s.SlowStartCapacity <= 0:
		return setting.New("Fall, FallMultiple, ColdShare", "must be above 0")
	}
	for _, c := range s.Classes {
		if c.FirstTokenObjective <= 0 {
			return setting.New("Classes", fmt.Sprintf("%q has no Aim", c.Name))
		}
	}
	return nil
}
