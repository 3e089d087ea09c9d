package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageItems is the largest number of items in one response of the store.
	pageItems = 500
	// longestWatch bounds the wait of a watch.
	longestWatch = 30 * time.Second
	// answerTime is how long an answer takes, and readsPerSecond how many calls the machines together may make.
	answerTime     = 4 * time.Millisecond
	readsPerSecond = 2000
)

// object is one object of the store.
type object struct {
	kind, name string
	revision   uint64
	created    uint64
	spec       json.RawMessage
}

// change is one entry of the store's history.
type change struct {
	object  object
	deleted bool
}

// state is what the store holds. A copy of it can be put back.
type state struct {
	revision uint64
	objects  map[string]object // by kind/name
	history  []change
}

// store is a stand-in of the platform's metadata store. It holds all objects in memory.
type store struct {
	mu      sync.Mutex
	state   state
	era     int
	away    bool
	changed chan struct{}
	// calls counts all calls, and limited those that were refused since there were too many in a second.
	calls, limited int
	second         time.Time // the second that inSecond counts
	inSecond       int
}

func newStore() *store {
	return &store{state: state{revision: 100, objects: make(map[string]object)}, era: 1, changed: make(chan struct{})}
}

// wake wakes all watches. s.mu must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object and returns its revision. A write that changes nothing has no effect.
func (s *store) put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := kind + "/" + name
	old, ok := s.state.objects[key]
	if ok && bytes.Equal(old.spec, data) {
		return old.revision
	}
	s.state.revision++
	o := object{kind: kind, name: name, revision: s.state.revision, created: s.state.revision, spec: data}
	if ok {
		o.created = old.created
	}
	s.state.objects[key] = o
	s.state.history = append(s.state.history, change{object: o})
	s.wake()
	return o.revision
}

// remove removes an object, if it is there.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := kind + "/" + name
	o, ok := s.state.objects[key]
	if !ok {
		return
	}
	s.state.revision++
	delete(s.state.objects, key)
	o.revision = s.state.revision
	s.state.history = append(s.state.history, change{object: o, deleted: true})
	s.wake()
}

// revision returns the store's revision.
func (s *store) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.revision
}

// copyOf returns a copy of what the store holds now.
func (s *store) copyOf() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := state{revision: s.state.revision, objects: make(map[string]object, len(s.state.objects))}
	for key, o := range s.state.objects {
		out.objects[key] = o
	}
	out.history = append(out.history, s.state.history...)
	return out
}

// setAway sets whether the store is away: it answers every call with 503 then, and cuts off the watches.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

// restore replaces what the store holds by a copy, and begins a new era.
func (s *store) restore(from state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = from
	s.era++
	s.wake()
}

type wireMetadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"createdRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type wireObject struct {
	Metadata wireMetadata    `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   any             `json:"status"`
}

type wireEvent struct {
	Object  wireObject `json:"object"`
	Deleted bool       `json:"deleted"`
}

func (o object) wire() wireObject {
	return wireObject{
		Metadata: wireMetadata{Name: o.name, Revision: o.revision, CreatedRev: o.created, Finalizers: []string{}}, Spec: o.spec,
	}
}

// admit counts a call and sets the era of its answer. It reports whether the store is away, and whether there are too many
// calls.
func (s *store) admit(w http.ResponseWriter) (away, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.calls++
	if second := time.Now().Truncate(time.Second); !second.Equal(s.second) {
		s.second, s.inSecond = second, 0
	}
	s.inSecond++
	if limited = s.inSecond > readsPerSecond; limited {
		s.limited++
	}
	return s.away, limited
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(answerTime)
	away, limited := s.admit(w)
	w.Header().Set("Content-Type", "application/json")
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	query := r.URL.Query()
	switch {
	case away:
		w.WriteHeader(http.StatusServiceUnavailable)
	case limited:
		w.WriteHeader(http.StatusTooManyRequests)
	case r.Method != http.MethodGet || parts[0] != "objects" || len(parts) < 2:
		w.WriteHeader(http.StatusBadRequest) // nothing in these cases writes
	case len(parts) == 3:
		s.one(w, parts[1], parts[2])
	case query.Get("watch") != "":
		s.watch(w, r, parts[1])
	default:
		s.list(w, parts[1], query.Get("after"))
	}
}

func (s *store) one(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.state.objects[kind+"/"+name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(o.wire())
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items, more := []wireObject{}, false
	var names []string
	for _, o := range s.state.objects {
		if o.kind == kind && o.name > after {
			names = append(names, o.name)
		}
	}
	sort.Strings(names)
	if len(names) > pageItems {
		names, more = names[:pageItems], true
	}
	for _, name := range names {
		items = append(items, s.state.objects[kind+"/"+name].wire())
	}
	at := s.state.revision
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": more, "at": at})
}

var errNoHistory = errors.New("the store does not have that revision")

// eventsAfter returns the changes of a kind after a revision, and what is closed at the next change.
func (s *store) eventsAfter(kind string, revision uint64) (events []wireEvent, at uint64, changed chan struct{}, away bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision > s.state.revision {
		return nil, 0, nil, s.away, errNoHistory
	}
	events = []wireEvent{}
	for _, c := range s.state.history {
		if c.object.kind == kind && c.object.revision > revision {
			events = append(events, wireEvent{Object: c.object.wire(), Deleted: c.deleted})
		}
	}
	return events, s.state.revision, s.changed, s.away, nil
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(longestWatch, time.Duration(waitMs)*time.Millisecond))
	defer timer.Stop()
	for ended := false; ; {
		events, at, changed, away, err := s.eventsAfter(kind, revision)
		switch {
		case away:
			panic(http.ErrAbortHandler) // a watch that is waiting may be cut off
		case err != nil:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || ended:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
