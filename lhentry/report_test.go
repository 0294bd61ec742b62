package lhentry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

// reportTable returns a table of servers that report, the first ones nearby.
func reportTable(near, far int) *lhplace.Table {
	cfg := &lhconf.Config{
		Revision: 1,
		Services: []lhconf.Service{{Name: "cutdesk", Address: benchService, Proto: lhflow.TCP}},
	}
	for n := range near + far {
		dc := "near"
		if n >= near {
			dc = "far"
		}
		cfg.Servers = append(cfg.Servers, lhconf.BackendServer{
			Number: uint32(n + 1), Name: fmt.Sprint("s", n+1), Service: "cutdesk", DataCentre: dc, Report: "http://192.0.2.1/",
		})
	}
	return lhplace.NewTable(cfg)
}

// TestOrderOfReports asks servers nearby first, each after its pause, and lets none
// wait for longer than the number of servers explains.
func TestOrderOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		near, far := rapid.IntRange(0, 12).Draw(t, "near"), rapid.IntRange(0, 12).Draw(t, "far")
		table := reportTable(near, far)
		var r reports
		last := make(map[uint32]time.Duration)
		longest := reportPause + time.Duration(reportNearer*(near+far)+1)*reportInterval
		calls := 0
		for now := reportInterval; now < time.Minute; now += reportInterval {
			s, ok := r.next(now, "near", table)
			if !ok {
				continue
			}
			calls++
			if calls <= near {
				assert.Equal(t, s.DataCentre(), "near")
			}
			if before, again := last[s.Number()]; again {
				assert.Assert(t, now-before >= reportPause)
				assert.Assert(t, now-before <= longest, "%v", now-before)
			}
			last[s.Number()] = now
		}
		assert.Equal(t, len(last), near+far)
		assert.Equal(t, len(r.asked), near+far)
		_, _ = r.next(time.Hour, "near", reportTable(0, 0))
		assert.Equal(t, len(r.asked), 0)
	})
}

func TestAskForReport(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		load   float64
		ok     bool
	}{
		{"idle", http.StatusOK, `{"slots":2,"busy":0,"flows":9}`, 0, true},
		{"half", http.StatusOK, `{"slots":2,"busy":1}`, 0.5, true},
		{"beyond its slots", http.StatusOK, `{"slots":2,"busy":7}`, 1, true},
		{"negative", http.StatusOK, `{"slots":2,"busy":-1}`, 0, false},
		{"no slots", http.StatusOK, `{"busy":1}`, 0, false},
		{"no JSON", http.StatusOK, `idle`, 0, false},
		{"too large", http.StatusOK, fmt.Sprintf(`{"slots":2,"busy":0,"name":"%2000d"}`, 0), 0, false},
		{"refused", http.StatusServiceUnavailable, `{"slots":2,"busy":1}`, 0, false},
		{"redirected", http.StatusFound, `{"slots":2,"busy":1}`, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			r := reports{client: newReportClient()}
			load, ok := r.ask(context.Background(), server.URL)
			assert.Equal(t, load, c.load)
			assert.Equal(t, ok, c.ok)
			assert.Equal(t, r.calls.Load(), uint64(1))
			assert.Equal(t, r.failures.Load() == 0, c.ok)
		})
	}
	r := reports{client: newReportClient()}
	_, ok := r.ask(context.Background(), "http://127.0.0.1:1/")
	assert.Assert(t, !ok)
}
