package simulation

import (
	"slices"
	"time"

	"hickorydrum/fleet"
	"hickorydrum/load"
)

// spread is by how much a run is shorter or longer than the mean, at most.
const spread = 0.25

// worker is one upstream.
type worker struct {
	world   *world
	service *Service
	domain  *Domain
	entry   *fleet.Upstream
	part    float64 // from which share of a service on a trouble meets it

	running []*job
	waiting []*job
	known   []uint64 // the newest last
}

// job is one send of a request to an upstream.
type job struct {
	call   *call
	worker *worker
	sentAt time.Time
	way    time.Duration
	state  jobState
	chosen int // standing
}

type jobState int

const (
	underWay jobState = iota
	atWork
	over // answered, refused or given up
)

func (w *worker) down() bool {
	return w.world.pattern.troubled(Down, w.world.elapsed(), w.service.Name, w.part) != 1
}

// receive takes a request, has it wait, or refuses it.
func (w *worker) receive(j *job) {
	switch {
	case j.state == over:
	case w.down():
		w.known = nil
		w.reply(j, load.Unreachable)
	case len(w.running) < w.service.Slots:
		w.run(j)
	case len(w.waiting) < w.service.Queue:
		w.waiting = append(w.waiting, j)
	default:
		w.reply(j, load.Refused)
	}
}

// run begins to work on a request.
func (w *worker) run(j *job) {
	j.state = atWork
	w.running = append(w.running, j)
	kind := j.call.kind
	took := float64(kind.ServiceTime) * (1 + spread*(2*w.world.random.Float64()-1))
	if slices.Contains(w.known, j.call.ask.Object) {
		took *= 1 - kind.WarmGain
	}
	took *= w.world.pattern.troubled(Slow, w.world.elapsed(), w.service.Name, w.part)
	w.world.after(time.Duration(took), func() {
		if j.state == atWork {
			w.learn(j.call.ask.Object)
			w.free(j)
			w.reply(j, load.Answered)
		}
	})
}

// learn takes in an object; the one that was used longest ago makes room.
func (w *worker) learn(object uint64) {
	if at := slices.Index(w.known, object); at >= 0 {
		w.known = slices.Delete(w.known, at, at+1)
	}
	w.known = append(w.known, object)
	if len(w.known) > w.service.CacheSize {
		w.known = w.known[1:]
	}
}

// free ends the work on a request and begins with the next one.
func (w *worker) free(j *job) {
	w.running = slices.DeleteFunc(w.running, func(other *job) bool { return other == j })
	for len(w.waiting) > 0 && len(w.running) < w.service.Slots {
		next := w.waiting[0]
		w.waiting = w.waiting[1:]
		if next.state != over {
			w.run(next)
		}
	}
}

// cancel ends a request whose caller does not wait any more.
func (w *worker) cancel(j *job) {
	wasAtWork := j.state == atWork
	j.state = over
	if wasAtWork {
		w.free(j)
	}
}

// reply sends an answer back, with the load at this moment.
func (w *worker) reply(j *job, outcome load.Outcome) {
	running, waiting := len(w.running), len(w.waiting)
	w.world.after(j.way, func() {
		if j.state != over {
			j.state = over
			j.call.concluded(j, outcome, running, waiting)
		}
	})
}
