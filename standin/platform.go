package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"hickorydrum/fault"
	"hickorydrum/platform"
)

const (
	writesPerSecond = 400
	readsPerSecond  = 2000
)

// PlatformHandler serves a store as the platform's object API. It limits the rates of reads
// and writes. The paths under /standin are for tests: they set faults, take copies, come back from
// them and count calls.
func PlatformHandler(s *Store) http.Handler {
	p := &platformServer{
		store:  s,
		reads:  rate.NewLimiter(readsPerSecond, readsPerSecond),
		writes: rate.NewLimiter(writesPerSecond, writesPerSecond),
	}
	server := echo.New()
	server.Use(p.nameEra)
	server.GET("/objects/:kind", p.list)
	server.POST("/objects/:kind", p.create)
	server.GET("/objects/:kind/:name", p.get)
	server.PUT("/objects/:kind/:name", p.replace)
	server.DELETE("/objects/:kind/:name", p.remove)
	server.POST("/standin/fault", p.setFault)
	server.POST("/standin/copy", p.takeCopy)
	server.POST("/standin/restore", p.restore)
	server.GET("/standin/calls", func(c echo.Context) error {
		reads, writes := s.Calls()
		return c.JSON(http.StatusOK, map[string]int{"reads": reads, "writes": writes})
	})
	return server
}

type platformServer struct {
	store  *Store
	reads  *rate.Limiter
	writes *rate.Limiter

	mu     sync.Mutex
	backup *Copy // the last copy that was taken, nil if none was
}

// headerEra is the header with the era of the store.
const headerEra = "Store-Era"

// nameEra adds the era to each response, also to one that refuses the call.
func (p *platformServer) nameEra(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() { c.Response().Header().Set(headerEra, strconv.FormatUint(p.store.Era(), 10)) })
		return next(c)
	}
}

// writeError maps an error of the store to an HTTP status. For an error after which the call
// may have been executed, it drops the connection.
func writeError(c echo.Context, err error) error {
	status := map[fault.Kind]int{
		fault.Missing: http.StatusNotFound, fault.Conflict: http.StatusConflict,
		fault.Invalid: http.StatusRequestEntityTooLarge,
	}[fault.KindOf(err)]
	switch {
	case status != 0:
	case fault.IsNotExecuted(err):
		status = http.StatusServiceUnavailable
	default:
		// The response is lost: the connection ends without one.
		panic(http.ErrAbortHandler)
	}
	return c.String(status, err.Error())
}

// rateLimited reports whether a call exceeds the rate limit. If so, it has responded.
func rateLimited(c echo.Context, l *rate.Limiter) bool {
	if l.Allow() {
		return false
	}
	_ = c.String(http.StatusTooManyRequests, "too many calls")
	return true
}

// objectMessage is the JSON form of an object in the platform's API.
type objectMessage struct {
	Metadata objectMetadata  `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type objectMetadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"createdRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// writtenElsewhere reports whether objects of a kind are written by programs other than
// hickorydrum. Their spec is plain JSON.
func writtenElsewhere(kind string) bool {
	switch kind {
	case platform.KindUpstreams, platform.KindConfiguration, platform.KindEvacuations:
		return true
	}
	return false
}

func toMessage(o *Object) objectMessage {
	m := objectMessage{
		Metadata: objectMetadata{Name: o.name(), Revision: o.Version, Finalizers: []string{}},
		Spec:     platform.EncodeValue(o.Value),
	}
	if kind, _, _ := strings.Cut(o.Key, "/"); writtenElsewhere(kind) && len(o.Value) > 0 {
		m.Spec = o.Value
	}
	return m
}

// objectKey returns the key of the object that a call's path names.
func objectKey(c echo.Context) (string, error) {
	name, err := url.PathUnescape(c.Param("name"))
	return c.Param("kind") + "/" + name, err
}

func (p *platformServer) get(c echo.Context) error {
	if rateLimited(c, p.reads) {
		return nil
	}
	key, err := objectKey(c)
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	o, err := p.store.Get(c.Request().Context(), key)
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, toMessage(&o))
}

// readObject decodes the object in the body of a write.
func readObject(c echo.Context) (objectMessage, error) {
	var m objectMessage
	// The limit leaves room for Base64 and for the fields around the value.
	data, err := io.ReadAll(io.LimitReader(c.Request().Body, 2*platform.MaxValue))
	if err != nil {
		return m, err
	}
	err = json.Unmarshal(data, &m)
	return m, err
}

func (p *platformServer) create(c echo.Context) error {
	if rateLimited(c, p.writes) {
		return nil
	}
	m, err := readObject(c)
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	return p.write(c, c.Param("kind")+"/"+m.Metadata.Name, m, 0)
}

func (p *platformServer) replace(c echo.Context) error {
	if rateLimited(c, p.writes) {
		return nil
	}
	m, err := readObject(c)
	key, keyErr := objectKey(c)
	if err := errors.Join(err, keyErr); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	if m.Metadata.Revision == 0 {
		return c.String(http.StatusBadRequest, "the stand-in replaces only under a revision")
	}
	return p.write(c, key, m, m.Metadata.Revision)
}

func (p *platformServer) write(c echo.Context, key string, m objectMessage, version uint64) error {
	next, err := p.store.Put(c.Request().Context(), key, platform.DecodeValue(m.Spec), version)
	if err != nil {
		return writeError(c, err)
	}
	m.Metadata.Revision = next
	return c.JSON(http.StatusOK, m)
}

func (p *platformServer) remove(c echo.Context) error {
	if rateLimited(c, p.writes) {
		return nil
	}
	key, keyErr := objectKey(c)
	version, err := strconv.ParseUint(c.QueryParam("revision"), 10, 64)
	if err := errors.Join(err, keyErr); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	if err := p.store.Delete(c.Request().Context(), key, version); err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, struct{}{})
}

type objectPage struct {
	Items []objectMessage `json:"items"`
	More  bool            `json:"more"`
	At    uint64          `json:"at"`
}

type objectEvent struct {
	Deleted bool          `json:"deleted"`
	Object  objectMessage `json:"object"`
}

type eventPage struct {
	Events []objectEvent `json:"events"`
	At     uint64        `json:"at"`
}

// objectsPerPage is the greatest number of objects in one response to a list call.
const objectsPerPage = 500

func (p *platformServer) list(c echo.Context) error {
	if rateLimited(c, p.reads) {
		return nil
	}
	if c.QueryParam("watch") != "" {
		return p.watch(c)
	}
	found, err := p.store.list(c.Request().Context(), c.Param("kind")+"/")
	if err != nil {
		return writeError(c, err)
	}
	out := objectPage{Items: []objectMessage{}, At: found.cursor}
	for i := range found.objects {
		o := &found.objects[i]
		if o.name() <= c.QueryParam("after") {
			continue
		}
		if len(out.Items) == objectsPerPage {
			out.More = true
			break
		}
		out.Items = append(out.Items, toMessage(o))
	}
	return c.JSON(http.StatusOK, out)
}

func (p *platformServer) watch(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam("watch"), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, "watch is not a revision")
	}
	ms, err := strconv.Atoi(c.QueryParam("waitMs"))
	if err != nil || ms < 0 {
		return c.String(http.StatusBadRequest, "waitMs is not a number of milliseconds")
	}
	wait := time.Duration(ms) * time.Millisecond
	found, err := p.store.watch(c.Request().Context(), c.Param("kind")+"/", after, wait)
	if fault.KindOf(err) == fault.Conflict {
		return c.String(http.StatusGone, err.Error())
	}
	if err != nil {
		return writeError(c, err)
	}
	out := eventPage{Events: []objectEvent{}, At: found.cursor}
	for i := range found.objects {
		o := &found.objects[i]
		out.Events = append(out.Events, objectEvent{Deleted: o.Deleted, Object: toMessage(o)})
	}
	return c.JSON(http.StatusOK, out)
}

func (p *platformServer) takeCopy(c echo.Context) error {
	backup := p.store.Copy()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backup = &backup
	return c.NoContent(http.StatusNoContent)
}

func (p *platformServer) restore(c echo.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.backup == nil {
		return c.String(http.StatusConflict, "no copy was taken")
	}
	p.store.Restore(*p.backup)
	return c.NoContent(http.StatusNoContent)
}

func (p *platformServer) setFault(c echo.Context) error {
	n, err := strconv.Atoi(c.QueryParam("calls"))
	if err != nil {
		return c.String(http.StatusBadRequest, "calls is not a number")
	}
	p.store.Fail(StoreFault(c.QueryParam("kind")), n)
	return c.NoContent(http.StatusNoContent)
}
