package standin

import (
	"io"
	"net/http"
	"strconv"
	"strings"
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

// PlatformHandler serves a store over HTTP and limits the calls.
func PlatformHandler(s *Store) http.Handler {
	p := &platformServer{
		store:  s,
		reads:  rate.NewLimiter(readsPerSecond, readsPerSecond),
		writes: rate.NewLimiter(writesPerSecond, writesPerSecond),
	}
	server := echo.New()
	server.GET("/v1/objects/*", p.get)
	server.PUT("/v1/objects/*", p.put)
	server.DELETE("/v1/objects/*", p.remove)
	server.GET("/v1/objects", p.list)
	server.GET("/v1/watch", p.watch)
	server.POST("/standin/fault", p.fail)
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
}

func failPlatform(c echo.Context, err error) error {
	status := map[fault.Kind]int{
		fault.Missing: http.StatusNotFound, fault.Conflict: http.StatusPreconditionFailed,
		fault.Invalid: http.StatusRequestEntityTooLarge,
	}[fault.KindOf(err)]
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	return c.String(status, err.Error())
}

func limited(c echo.Context, l *rate.Limiter) bool {
	if l.Allow() {
		return false
	}
	_ = c.String(http.StatusTooManyRequests, "too many calls")
	return true
}

func setETag(c echo.Context, version uint64) {
	c.Response().Header().Set("ETag", strconv.Quote(strconv.FormatUint(version, 10)))
}

func (p *platformServer) get(c echo.Context) error {
	if limited(c, p.reads) {
		return nil
	}
	o, err := p.store.Get(c.Request().Context(), c.Param("*"))
	if err != nil {
		return failPlatform(c, err)
	}
	setETag(c, o.Version)
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, o.Value)
}

// condition reads the version that a write requires.
func condition(h http.Header) (uint64, bool) {
	if h.Get("If-None-Match") == "*" {
		return 0, true
	}
	version, err := strconv.ParseUint(strings.Trim(h.Get("If-Match"), `"`), 10, 64)
	return version, err == nil
}

func (p *platformServer) put(c echo.Context) error {
	if limited(c, p.writes) {
		return nil
	}
	version, ok := condition(c.Request().Header)
	if !ok {
		return c.String(http.StatusPreconditionRequired, "a write needs If-Match or If-None-Match")
	}
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, platform.MaxValue+1))
	if err != nil {
		return err
	}
	next, err := p.store.Put(c.Request().Context(), c.Param("*"), value, version)
	if err != nil {
		return failPlatform(c, err)
	}
	setETag(c, next)
	return c.NoContent(http.StatusOK)
}

func (p *platformServer) remove(c echo.Context) error {
	if limited(c, p.writes) {
		return nil
	}
	version, ok := condition(c.Request().Header)
	if !ok {
		return c.String(http.StatusPreconditionRequired, "a delete needs If-Match")
	}
	if err := p.store.Delete(c.Request().Context(), c.Param("*"), version); err != nil {
		return failPlatform(c, err)
	}
	return c.NoContent(http.StatusNoContent)
}

func (p *platformServer) list(c echo.Context) error {
	if limited(c, p.reads) {
		return nil
	}
	page, err := p.store.List(c.Request().Context(), c.QueryParam("prefix"))
	if err != nil {
		return failPlatform(c, err)
	}
	return c.JSON(http.StatusOK, page)
}

func (p *platformServer) watch(c echo.Context) error {
	if limited(c, p.reads) {
		return nil
	}
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, "after is not a cursor")
	}
	ms, err := strconv.Atoi(c.QueryParam("wait"))
	if err != nil || ms < 0 {
		return c.String(http.StatusBadRequest, "wait is not a number of milliseconds")
	}
	page, err := p.store.Watch(c.Request().Context(), c.QueryParam("prefix"), after, time.Duration(ms)*time.Millisecond)
	if err != nil {
		return failPlatform(c, err)
	}
	return c.JSON(http.StatusOK, page)
}

func (p *platformServer) fail(c echo.Context) error {
	n, err := strconv.Atoi(c.QueryParam("calls"))
	if err != nil {
		return c.String(http.StatusBadRequest, "calls is not a number")
	}
	p.store.Fail(StoreFault(c.QueryParam("kind")), n)
	return c.NoContent(http.StatusNoContent)
}
