package requestlog

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Log lines of the instance front-1 around a planned stop.
const (
	logStarted = `front-1 {"time":"2026-01-01T00:00:00Z","msg":"instance started","event":100}
`
	logStop = `front-1 {"time":"2026-01-01T00:00:01Z","msg":"planned stop begun","event":102,"open":{"idle":3,"reading":0,"serving":1,"closing":0}}
front-1 {"time":"2026-01-01T00:00:01.01Z","msg":"planned stop step done","event":103,"step":"leave","found":{"idle":3,"reading":0,"serving":1,"closing":0},"left":{"idle":3,"reading":0,"serving":1,"closing":0},"took":10000000}
front-1 {"time":"2026-01-01T00:00:03Z","msg":"planned stop step done","event":103,"step":"expire","found":{"idle":3,"reading":0,"serving":1,"closing":0},"left":{"idle":0,"reading":0,"serving":2,"closing":0},"took":1990000000}
`
	logStopped = `front-1 {"time":"2026-01-01T00:00:03.5Z","msg":"instance stopped","event":104,"open":{"idle":0,"reading":0,"serving":1,"closing":0},"took":2500000000}
`
	logLost = `front-1 {"time":"2026-01-01T00:00:03.501Z","msg":"the caller got no whole response","event":504,"id":"abc","reason":"stopped","took_ms":1001}
`
	logOmitted = `front-1 {"time":"2026-01-01T00:00:04Z","msg":"lines about requests left out","event":503,"count":12}
`
	// Parts of the stories.
	storyStop = `  planned stop of the instance from 2026-01-01T00:00:01Z, open then: 3 idle, 0 reading, 1 serving, 0 closing
  the request arrived 1500 ms after that
    2026-01-01T00:00:03Z step "expire" done after 1.99s: found 3 idle, 0 reading, 1 serving, 0 closing; left 0 idle, 0 reading, 2 serving, 0 closing
`
	storyStopped = `    2026-01-01T00:00:03.5Z stop done, open: 0 idle, 0 reading, 1 serving, 0 closing
`
	storyUnknown = `  whether it ran: an upstream may have run it, no line says more; it can be sent again only if it is idempotent
`
)

// TestStory checks the stories of requests whose callers got no whole response, or that a planned stop
// rejected.
func TestStory(t *testing.T) {
	for name, test := range map[string]struct{ log, want string }{
		"stopped, the process ended before the request's line": {
			log: logStarted + logStop + logStopped + logLost,
			want: `2026-01-01T00:00:03.501Z front-1
  request abc: no line about its end; the process ended before, or the line was left out
  its caller got no whole response: the instance closed the connection at the end of its stop (stopped, 1001 ms after the request arrived)
` + storyUnknown + storyStop + storyStopped + `  before it, 2026-01-01T00:00:00Z: instance started (event 100)
`,
		},
		"stopped, the request's line comes after": {
			log: logStop + logStopped + logLost +
				`front-1 {"time":"2026-01-01T00:00:03.503Z","event":502,"id":"abc","outcome":"caller-gone","took_ms":1003,"limit_ms":2000,"sends":1,"detail":"the caller left"}
`,
			want: `2026-01-01T00:00:03.503Z front-1
  request abc: caller-gone after 1003 ms of 2000
  cause: the caller left
  its caller got no whole response: the instance closed the connection at the end of its stop (stopped, 1001 ms after the request arrived)
  the line about its end takes that for the caller's close
  whether it ran: an upstream may have run it; it can be sent again only if it is idempotent
` + storyStop + storyStopped,
		},
		"answered by an upstream that a peer brought back": {
			log: `front-1 {"time":"2026-01-01T00:00:02.6Z","event":501,"id":"abc","outcome":"answered","status":200,"took_ms":100,"limit_ms":900,"sends":1,"upstream":"i-1","domain":"one-a","entry":23,"source":"peer","peer":"10.0.0.4","known_ms":750}
`,
			want: `2026-01-01T00:00:02.6Z front-1
  request abc: answered, status 200 after 100 ms of 900
  last upstream: i-1 in one-a; sent to 1 in all
  what was known of it: its entry at revision 23, from the source "peer" 10.0.0.4, 750 ms before it was chosen
`,
		},
		"stopped, line 504 left out": {
			log: logStop + logStopped +
				`front-1 {"time":"2026-01-01T00:00:03.503Z","event":502,"id":"abc","outcome":"caller-gone","took_ms":1003,"limit_ms":2000,"sends":0,"detail":"the body was cut short"}
` + logOmitted,
			want: `2026-01-01T00:00:03.503Z front-1
  request abc: caller-gone after 1003 ms of 2000
  cause: the body was cut short
  its caller got no whole response: the instance closed the connection at the end of its stop (stopped)
  the line about its end takes that for the caller's close
  whether it ran: no upstream ran it
` + storyStop + storyStopped + "12 lines about requests were left out of this log\n",
		},
		"served by a configuration that a peer had confirmed": {
			log: `front-1 {"time":"2026-01-01T00:00:02.6Z","event":501,"id":"abc","outcome":"answered","status":200,"took_ms":10,"limit_ms":900,"sends":1,"route":"r-1","version":7,"service":"old","confirmed_ms":640,"confirmed_by":"10.0.0.4"}
`,
			want: `2026-01-01T00:00:02.6Z front-1
  request abc: answered, status 200 after 10 ms of 900
  route r-1 of configuration version 7, service old
  the configuration was known to be current 640 ms before the request arrived, from 10.0.0.4
`,
		},
		"answered, not delivered whole": {
			log: logStop + logStopped + logLost +
				`front-1 {"time":"2026-01-01T00:00:02.6Z","event":501,"id":"abc","outcome":"answered","status":200,"took_ms":100,"limit_ms":900,"sends":1}
`,
			want: `2026-01-01T00:00:02.6Z front-1
  request abc: answered, status 200 after 100 ms of 900
  its caller got no whole response: the instance closed the connection at the end of its stop (stopped, 1001 ms after the request arrived)
  whether it ran: an upstream ran it
` + storyStop + storyStopped,
		},
		"rejected by a stop of which no end is logged": {
			log: logStop +
				`front-1 {"time":"2026-01-01T00:00:02.501Z","event":502,"id":"abc","outcome":"refused","status":503,"took_ms":1,"limit_ms":3000,"sends":0,"reason":"stopping","detail":"the instance stops before the request's deadline"}
`,
			want: `2026-01-01T00:00:02.501Z front-1
  request abc: refused, status 503 after 1 ms of 3000
  cause: the instance stops before the request's deadline
  last choice: stopping (the instance stops before the request's deadline, and sends it to no upstream any more)
  whether it ran: no upstream ran it; another instance can serve it at once
` + storyStop + `    no line about the end of the stop (event 104) is in this log
`,
		},
		"aborted after a restart": {
			log: logStop + strings.ReplaceAll(logStarted, "00:00:00Z", "00:00:05Z") +
				`front-1 {"time":"2026-01-01T00:00:05.9Z","msg":"the caller got no whole response","event":504,"server":"look-ups","id":"","reason":"aborted","took_ms":1}
front-1 {"time":"2026-01-01T00:00:06Z","event":504,"id":"abc","reason":"aborted","took_ms":20}
front-1 {"time":"2026-01-01T00:00:06Z","event":502,"id":"abc","outcome":"cut","status":200,"took_ms":20,"limit_ms":900,"sends":1}
`,
			want: `2026-01-01T00:00:06Z front-1
  request abc: cut, status 200 after 20 ms of 900
  its caller got no whole response: the instance broke the response off, such as when that of the upstream ended early (aborted, 20 ms after the request arrived)
  whether it ran: an upstream may have run it; it can be sent again only if it is idempotent
  before it, 2026-01-01T00:00:01Z: planned stop begun (event 102)
  before it, 2026-01-01T00:00:01.01Z: planned stop step done (event 103)
  before it, 2026-01-01T00:00:03Z: planned stop step done (event 103)
  before it, 2026-01-01T00:00:05Z: instance started (event 100)
`,
		},
		"sent to another instance before the first lost it": {
			log: `front-1 {"time":"2026-01-01T00:00:06Z","event":504,"id":"abc","reason":"caller-left","took_ms":500}
front-2 {"time":"2026-01-01T00:00:06.01Z","event":501,"id":"abc","outcome":"answered","status":200,"took_ms":490,"limit_ms":600,"sends":1}
`,
			want: `2026-01-01T00:00:06Z front-1
  request abc: no line about its end; the process ended before, or the line was left out
  its caller got no whole response: the caller closed the connection, or took no more of the response (caller-left, 500 ms after the request arrived)
` + storyUnknown + `2026-01-01T00:00:06.01Z front-2
  request abc: answered, status 200 after 490 ms of 600
`,
		},
		"stopped, no line about the stop": {
			log: logLost,
			want: `2026-01-01T00:00:03.501Z front-1
  request abc: no line about its end; the process ended before, or the line was left out
  its caller got no whole response: the instance closed the connection at the end of its stop (stopped, 1001 ms after the request arrived)
` + storyUnknown + `  no line about the begin of the stop (event 102) is in this log
`,
		},
		"after the store came back from a copy": {
			log: `front-1 {"time":"2026-01-01T00:00:01Z","msg":"the platform's store came back from a copy","event":323,"kind":"servers","from_era":"1","era":"2","from_revision":46,"revision":42,"source":"list","retained":0,"kept":1,"hidden":1,"first_hidden":["i-4"]}
front-2 {"time":"2026-01-01T00:00:01Z","msg":"the platform's store came back from a copy","event":323,"kind":"config","from_era":"1","era":"2"}
front-1 {"time":"2026-01-01T00:00:02.6Z","event":501,"id":"abc","outcome":"refused","status":503,"took_ms":100,"limit_ms":900,"sends":1,"upstream":"i-1","domain":"one-a","entry":23,"era":"2","source":"list","known_ms":750}
`,
			want: `2026-01-01T00:00:02.6Z front-1
  request abc: refused, status 503 after 100 ms of 900
  last upstream: i-1 in one-a; sent to 1 in all
  what was known of it: its entry at revision 2:23, from the source "list" , 750 ms before it was chosen
  whether it ran: no upstream ran it
  the store came back from a copy, known here 1600 ms before: era 1 to 2, servers from revision 46 to 42; retained 0 that the copy lacks, kept 1 as they were, hid 1 that had been removed (i-4)
  before it, 2026-01-01T00:00:01Z: the platform's store came back from a copy (event 323)
`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			history, err := Collect(strings.NewReader(test.log), "abc")
			if err != nil {
				t.Fatal(err)
			}
			var got strings.Builder
			if err := history.Write(&got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(strings.Split(test.want, "\n"), strings.Split(got.String(), "\n")); diff != "" {
				t.Error(diff)
			}
		})
	}
}
