package lhpace

// Settings are how a VM treats servers that are cold, or answer again. The zero Settings limit
// nothing.
type Settings struct {
	// Enabled is set if the new flows of such servers follow a Pace and are kept within the limit
	// that is declared for a cold server.
	Enabled bool
	// Self is the VM's name.
	Self string
	// Overshoot and Slack bound the new flows of a cold server in any second, summed over all
	// VMs: the declared flows a second x Overshoot + Slack.
	Overshoot, Slack float64
}
