package lhconf

// Warmup says how backend servers that have just started, or answer again, are treated.
type Warmup struct {
	// Pace is set if their new flows are limited (package lhpace).
	Pace bool
	// Overshoot and Slack bound the new flows of a cold server in any second if the
	// configuration declares what it bears: that number x Overshoot + Slack.
	Overshoot, Slack float64
}

// warmupFields lists the keys of Warmup.
func warmupFields[T any](target func(*T) *Warmup) []field[T] {
	return []field[T]{
		choiceField("pace", []string{"false", "true"}, []bool{false, true}, func(t *T) *bool { return &target(t).Pace }),
		decimalField("overshoot", 1, 100, func(t *T) *float64 { return &target(t).Overshoot }),
		decimalField("slack", 0, 1_000_000, func(t *T) *float64 { return &target(t).Slack }),
	}
}
