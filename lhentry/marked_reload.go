package lhentry

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
)

// reloadPeriod is the time between two looks at the settings without a signal: a
// file may be replaced without one.
const reloadPeriod = 5 * time.Second

// Reload says how settings are read again while a process runs.
type Reload struct {
	// Read reads the settings; nil leaves them as they are.
	Read func() (lhconf.MarkedSettings, error)
	// Now asks for that at once.
	Now <-chan os.Signal
}

// reload reads the settings again, now and then and when it is asked to, until the
// context ends.
func (m *Marked) reload(ctx context.Context) error {
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	fault := ""
	for {
		asked := false
		select {
		case <-ctx.Done():
			return nil
		case <-m.outside.Reload.Now:
			asked = true
		case <-ticker.C:
		}
		if m.outside.Reload.Read == nil {
			continue
		}
		s, err := m.outside.Reload.Read()
		if err == nil {
			fault = ""
			m.takeSettings(s, asked)
			continue
		}
		if asked || err.Error() != fault {
			m.log.Error().Err(err).Msg("settings can't be read again; the present ones stay in force")
		}
		fault = err.Error()
	}
}

// takeSettings puts into force what can change while the process runs.
func (m *Marked) takeSettings(s lhconf.MarkedSettings, asked bool) {
	before := *m.settings.Load()
	if reflect.DeepEqual(s, before) {
		if asked {
			m.log.Info().Msg("settings read again; nothing has changed")
		}
		return
	}
	next := before
	next.LogLines, next.Stop, next.Contacts = s.LogLines, s.Stop, s.Contacts
	m.settings.Store(&next)
	m.lines.limit(s.LogLines)
	m.log.Info().Int("lines", s.LogLines).Dur("stop", s.Stop).
		Bool("restart", !reflect.DeepEqual(s, next)).Msg("settings changed")
}
