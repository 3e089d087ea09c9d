package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the platform's store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"createdRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// change is one entry of the store's history.
type change struct {
	kind    string
	at      uint64
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
}

// store is a stand-in of the platform's store, as far as the instances call it: lists, reads and watches.
type store struct {
	mu      sync.Mutex
	at      uint64
	objects map[string]map[string]object // by kind and name
	history []change
	changed chan struct{} // closed and replaced by each change
}

func newStore() *store {
	return &store{objects: make(map[string]map[string]object), changed: make(chan struct{}), at: 100}
}

// put creates or replaces an object.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the specs are this program's own
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	created := s.at
	if old, ok := s.objects[kind][name]; ok {
		created = old.Metadata.CreatedRev
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	o := object{
		Metadata: metadata{Name: name, Revision: s.at, CreatedRev: created, Finalizers: []string{}},
		Spec:     data, Status: json.RawMessage("null"),
	}
	s.objects[kind][name] = o
	s.record(change{kind: kind, at: s.at, Object: o})
}

// record appends a change to the history and wakes the watches. The lock is held.
func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve answers the calls of the instances until the listener is closed.
func (s *store) serve(l net.Listener) error {
	server := &http.Server{Handler: http.HandlerFunc(s.call), ReadHeaderTimeout: time.Minute}
	_ = server.Serve(l) // it ends with the listener
	return nil
}

func (s *store) call(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok || r.Method != http.MethodGet {
		http.Error(w, "not a call of the store", http.StatusNotFound)
		return
	}
	kind, name, one := strings.Cut(path, "/")
	watch := r.URL.Query().Get("watch")
	switch {
	case one:
		s.get(w, kind, name)
	case watch != "":
		s.watch(w, r, kind)
	default:
		s.list(w, kind, r.URL.Query().Get("after"))
	}
}

func reply(w http.ResponseWriter, message any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(message) // the caller may have gone
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "there is no such object", http.StatusNotFound)
		return
	}
	reply(w, o)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items := make([]object, 0, len(s.objects[kind]))
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	at := s.at
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, map[string]any{"items": items, "more": false, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	cursor, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		http.Error(w, "a number is missing", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		events, at, changed := s.after(kind, cursor)
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			reply(w, map[string]any{"events": events, "at": at})
			return
		case <-changed:
		}
	}
}

// after returns the changes of a kind after a revision, the revision of the store, and a channel that is
// closed by the next change.
func (s *store) after(kind string, cursor uint64) ([]change, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []change{}
	for _, c := range s.history {
		if c.kind == kind && c.at > cursor {
			events = append(events, c)
		}
	}
	return events, s.at, s.changed
}
