package trial

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// RunSlope takes all measurements and prints them as a table. If a page is named, it
// also replaces the table of the page and draws plots beside it.
func RunSlope(ctx context.Context, page string, out io.Writer) error {
	slopes, err := measureBlocks()
	if err != nil {
		return err
	}
	slopes = append(slopes, measureRoster())
	for _, measure := range []func(context.Context) ([]Slope, error){measureCalls, measureConnections} {
		measured, err := measure(ctx)
		if err != nil {
			return err
		}
		slopes = append(slopes, measured...)
	}
	perSecond, micros, err := measureLookups(ctx)
	if err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n\n%d cores, Go %s. Medians of %d rounds; a fit by least squares over the sizes named.\n\n",
		tableBeginMark, runtime.NumCPU(), strings.TrimPrefix(runtime.Version(), "go"), slopeRounds)
	b.WriteString("| what | sizes | at the largest | slope | standard error |\n| --- | --- | --- | --- | --- |\n")
	for _, s := range slopes {
		_, slope, stdErr := s.fit()
		fmt.Fprintf(&b, "| %s | %.0f to %.0f | %.4g %s | %.3g %s per %s | %.1g |\n", s.name,
			s.sizes[0], s.sizes[len(s.sizes)-1], s.values[len(s.values)-1], s.unit, slope, s.unit, s.sizeUnit, stdErr)
	}
	fmt.Fprintf(&b, "| look-ups over HTTP, asking side included | 120000 blocks | %.0f a second | %.3g µs CPU per look-up | |\n\n%s",
		perSecond, micros, tableEndMark)
	_, _ = fmt.Fprintln(out, b.String())
	if page == "" {
		return nil
	}
	if err := replaceTable(page, b.String()); err != nil {
		return err
	}
	return drawPlots(filepath.Dir(page), slopes)
}

// replaceTable replaces the part of the page between the marks.
func replaceTable(page, table string) error {
	data, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	before, rest, ok := strings.Cut(string(data), tableBeginMark)
	_, after, ok2 := strings.Cut(rest, tableEndMark)
	if !ok || !ok2 {
		return fmt.Errorf("%s has no marks %q and %q", page, tableBeginMark, tableEndMark)
	}
	return os.WriteFile(page, []byte(before+table+after), 0o644)
}

// drawPlots writes a plot of each slope that has a plot file.
func drawPlots(dir string, slopes []Slope) error {
	for _, s := range slopes {
		if s.plotFile == "" {
			continue
		}
		p := plot.New()
		p.Title.Text = s.name
		p.X.Label.Text = s.sizeUnit + "s"
		p.Y.Label.Text = s.unit
		points := make(plotter.XYs, len(s.sizes))
		for i := range points {
			points[i].X, points[i].Y = s.sizes[i], s.values[i]
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return err
		}
		intercept, slope, _ := s.fit()
		p.Add(scatter, plotter.NewFunction(func(x float64) float64 { return intercept + slope*x }), plotter.NewGrid())
		p.X.Min, p.Y.Min = 0, 0
		if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, s.plotFile)); err != nil {
			return err
		}
	}
	return nil
}
