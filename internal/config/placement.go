package config

import "fmt"

// fillDefaults sets the fields that the file omits.
func (p *Placement) fillDefaults() {
	setDefault(&p.LoadsUnderWay, DefaultLoadsUnderWay)
	setDefault(&p.LoadsPerSecond, DefaultLoadsPerSecond)
	setDefault(&p.LoadTimeoutSeconds, DefaultLoadTimeoutSeconds)
	setDefault(&p.MinChangeSeconds, max(DefaultMinChangeSeconds, p.LoadTimeoutSeconds))
	setDefault(&p.PressedSeconds, DefaultPressedSeconds)
	setDefault(&p.IdleSeconds, DefaultIdleSeconds)
	setDefault(&p.PlanSeconds, DefaultPlanSeconds)
}

// checkPlacement reports adapters without a valid base model, and a MinChangeSeconds shorter than
// the load timeout: after a takeover, a load ordered by the previous VM could still be in progress.
func (c *checker) checkPlacement() {
	p := c.file.Placement
	loadTimeout := p.LoadTimeoutSeconds
	setDefault(&loadTimeout, DefaultLoadTimeoutSeconds)
	if p.MinChangeSeconds > 0 && p.MinChangeSeconds < loadTimeout {
		c.doc.Report(fmt.Sprintf("min_change_seconds %g is below load_timeout_seconds %g", p.MinChangeSeconds, loadTimeout),
			"at least load_timeout_seconds", "placement", "min_change_seconds")
	}
	for i, m := range c.file.Models {
		c.checkAdapter(i, m)
	}
}

// checkAdapter reports an adapter of an unknown model or of another adapter.
func (c *checker) checkAdapter(i int, m Model) {
	if m.AdapterOf == "" {
		return
	}
	c.checkReference(c.models, "model", m.AdapterOf, "models", i, "adapter_of")
	base, known := c.models[m.AdapterOf]
	if !known {
		return
	}
	if c.file.Models[base.index].AdapterOf != "" {
		c.doc.Report(fmt.Sprintf("%q is an adapter itself", m.AdapterOf), "a model that is no adapter", "models", i, "adapter_of")
	}
}

// Placement returns the settings for placing models on engines.
func (s *Snapshot) Placement() Placement { return s.file.Placement }

// MayServe reports whether a class of upstreams may serve a model, given by its ID or any name.
func (s *Snapshot) MayServe(class, model string) bool {
	c, known := s.classes[class]
	m, ok := s.models[model]
	if !known || !ok || c.Kind != KindEngine {
		return false
	}
	for _, name := range c.Serves {
		if served, ok := s.models[name]; ok && served == m {
			return true
		}
	}
	return len(c.Serves) == 0
}
