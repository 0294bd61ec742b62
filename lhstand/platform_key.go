package lhstand

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhstore"
)

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request, key string, epoch uint64) {
	value, found := p.awaitChange(r, key, epoch)
	if !found {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("ETag", value.ETag)
	if value.ETag == r.Header.Get("If-None-Match") {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(value.Data)
}

// awaitChange returns the value of a key as soon as its ETag differs from the
// client's If-None-Match, or after the wait duration of the request.
func (p *Platform) awaitChange(r *http.Request, key string, epoch uint64) (lhstore.Value, bool) {
	limit, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	known := r.Header.Get("If-None-Match")
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if limit > 0 && p.watchEpoch != epoch {
			panic(http.ErrAbortHandler)
		}
		value, found := p.keys[key]
		if value.ETag != known || ctx.Err() != nil {
			return value, found
		}
		changed := p.changeSignal()
		p.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-changed:
		}
		p.mu.Lock()
	}
}

func (p *Platform) serveWrite(w http.ResponseWriter, r *http.Request, key string, data []byte) {
	etag, lost, done := p.conditionalWrite(r, key, data)
	if lost {
		panic(http.ErrAbortHandler)
	}
	if !done {
		http.Error(w, "precondition failed: the key has changed", http.StatusPreconditionFailed)
		return
	}
	w.Header().Set("ETag", etag)
}

func (p *Platform) conditionalWrite(r *http.Request, key string, data []byte) (etag string, lost, done bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost = p.shouldLoseReply()
	value, found := p.keys[key]
	if r.Header.Get("If-None-Match") == "*" && found {
		return "", lost, false
	}
	if match := r.Header.Get("If-Match"); match != "" && match != value.ETag {
		return "", lost, false
	}
	if p.keys == nil {
		p.keys = map[string]lhstore.Value{}
	}
	etag = p.nextETag()
	p.keys[key] = lhstore.Value{Data: data, ETag: etag}
	if r.Method == http.MethodDelete {
		delete(p.keys, key)
	}
	p.notifyWatches()
	return etag, lost, true
}

func (p *Platform) serveList(w http.ResponseWriter, query url.Values) {
	prefix, after := query.Get("prefix"), query.Get("after")
	p.mu.Lock()
	entries := []lhstore.Entry{}
	for key, value := range p.keys {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, lhstore.Entry{Key: key, ETag: value.ETag})
		}
	}
	p.mu.Unlock()
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	if limit, err := strconv.Atoi(query.Get("limit")); err == nil && limit < len(entries) {
		entries = entries[:limit]
	}
	_ = json.NewEncoder(w).Encode(entries)
}

func (p *Platform) nextETag() string {
	p.lastETag++
	return fmt.Sprintf("%q", fmt.Sprint(p.lastETag))
}

func (p *Platform) changeSignal() <-chan struct{} {
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed
}

func (p *Platform) notifyWatches() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}
