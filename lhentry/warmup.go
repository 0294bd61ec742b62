package lhentry

import (
	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhpace"
	"github.com/laburnumhollow/laburnumhollow/lhpeer"
)

// paceSettings returns how a VM with a name and settings treats cold servers.
func paceSettings(self string, w lhconf.Warmup) lhpace.Settings {
	return lhpace.Settings{Enabled: w.Pace, Self: self, Overshoot: w.Overshoot, Slack: w.Slack}
}

// warmupGroup returns the VMs among which declared limits of cold servers are divided: also
// those that can't be reached, which may run on.
func warmupGroup(v *lhflow.View, unreachable []lhpeer.UnreachableMember) []lhpace.Member {
	group := make([]lhpace.Member, 0, len(v.Members)+len(unreachable))
	for _, m := range v.Members {
		group = append(group, lhpace.Member{Name: m.Name, DataCentre: m.DataCentre})
	}
	for _, m := range unreachable {
		group = append(group, lhpace.Member{Name: m.Name, DataCentre: m.DataCentre})
	}
	return group
}
