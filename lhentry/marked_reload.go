package lhentry

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
)

// reloadInterval is the time between two reads of the settings without a signal, because
// a file may be replaced without one.
const reloadInterval = 5 * time.Second

// Reload configures how settings are reloaded while a process runs.
type Reload struct {
	// Read reads the settings; nil disables reloading.
	Read func() (lhconf.MarkedSettings, error)
	// Trigger requests an immediate reload with each value.
	Trigger <-chan os.Signal
}

// reload reloads the settings periodically and on request until ctx is done.
func (m *Marked) reload(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	lastError := ""
	for {
		requested := false
		select {
		case <-ctx.Done():
			return nil
		case <-m.deps.Reload.Trigger:
			requested = true
		case <-ticker.C:
		}
		if m.deps.Reload.Read == nil {
			continue
		}
		s, err := m.deps.Reload.Read()
		if err == nil {
			lastError = ""
			m.applySettings(s, requested)
			continue
		}
		if requested || err.Error() != lastError {
			m.log.Error().Err(err).Msg("settings can't be read again; the present ones stay in force")
		}
		lastError = err.Error()
	}
}

// applySettings puts the settings in force that can change while the process runs.
func (m *Marked) applySettings(s lhconf.MarkedSettings, requested bool) {
	current := *m.settings.Load()
	if reflect.DeepEqual(s, current) {
		if requested {
			m.log.Info().Msg("settings read again; nothing has changed")
		}
		return
	}
	next := current
	next.LogLines, next.Stop, next.Contacts = s.LogLines, s.Stop, s.Contacts
	m.settings.Store(&next)
	m.flowLog.setRate(s.LogLines)
	m.log.Info().Int("lines", s.LogLines).Dur("stop", s.Stop).
		Bool("restart", !reflect.DeepEqual(s, next)).Msg("settings changed")
}
