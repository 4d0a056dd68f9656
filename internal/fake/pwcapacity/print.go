package pwcapacity

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// Print writes a report as Markdown tables, in the form that docs/CAPACITY.md contains.
func Print(w io.Writer, r *Report) error {
	p := &printer{
		w: w,
	}
	p.line("Run of %s on %s/%s, %d cores, %s, quick=%t, %s.\n", r.TakenAt.Format("2006-01-02"), r.Machine.OS, r.Machine.Arch, r.Machine.Cores, r.Machine.Go, r.Machine.Quick, r.Duration)
	p.line("### Sums at the large size\n")
	p.table("role", "figure", "class", "value", "limit", "margin", "status")
	for _, s := range r.Sums {
		p.row(s.Role, s.Figure, s.Class, formatValue(s.Figure, s.Value), formatLimit(s.Figure, s.Limit), formatMargin(s.Margin, s.Status), s.Status)
	}
	p.line("\n### Rows at the large size\n")
	p.table("role", "figure", "class", "cost", "formula", "slope", "residual", "value", "limit", "margin", "status", "mechanism", "bound")
	for _, x := range r.Rows {
		p.row(x.Role, x.Figure, x.Class, x.Name, x.Formula, formatNumber(x.Slope)+" "+x.SlopeUnit, formatPercent(x.Residual), formatValue(x.Figure, x.Value),
			x.LimitText, formatMargin(x.Margin, x.Status), x.Status, "`"+x.Mechanism+"`", x.Bound)
	}
	p.line("\n### Changes of mechanisms\n")
	p.table("change", "figure", "before", "after", "limit", "status after", "where")
	for _, c := range r.Alternatives {
		limit := "none"
		if c.Limit > 0 {
			limit = formatNumber(c.Limit) + " " + c.Unit
		}
		p.row(c.Name, c.Figure, formatNumber(c.ValueBefore)+" "+c.Unit, formatNumber(c.ValueAfter)+" "+c.Unit, limit, c.Status, c.Location)
	}
	for _, d := range r.Scenarios {
		p.line("\n### %s\n", strings.ToUpper(d.Name[:1])+d.Name[1:])
		p.table("figure", "ordinary", "peak", "limit", "status", "bound")
		for _, x := range d.Peaks {
			limit := "none"
			if x.Limit > 0 {
				limit = formatNumber(x.Limit) + " " + x.Unit
			}
			p.row(x.Figure, formatNumber(x.OrdinaryValue)+" "+x.Unit, formatNumber(x.PeakValue)+" "+x.Unit, limit, x.Status, x.Bound)
		}
	}
	p.line("\n### Measured terms\n")
	p.table("term", "counted", "unit", "points", "slope", "intercept", "residual")
	for _, t := range r.Terms {
		var points []string
		for _, pt := range t.Points {
			points = append(points, formatNumber(pt.X)+": "+formatNumber(pt.Y))
		}
		p.row(t.Name, t.Variable, t.Unit, strings.Join(points, ", "), formatNumber(t.Slope), formatNumber(t.Intercept), formatPercent(t.Residual))
	}
	return p.err
}

type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func (p *printer) row(cells ...string) { p.line("| %s |", strings.Join(cells, " | ")) }

func (p *printer) table(header ...string) {
	p.row(header...)
	p.line("|%s", strings.Repeat("---|", len(header)))
}

// significantDigits is the precision of printed numbers.
const significantDigits = 3

// formatNumber formats v with the unit prefix k, M or G if it is at least 1,000.
func formatNumber(v float64) string {
	switch a := math.Abs(v); {
	case a == 0:
		return "0"
	case a >= 1e3:
		scale, unit := 1e3, "k"
		if a >= 1e6 {
			scale, unit = 1e6, "M"
		}
		if a >= 1e9 {
			scale, unit = 1e9, "G"
		}
		return fmt.Sprintf("%.*g %s", significantDigits, v/scale, unit)
	case a < 1e-3:
		return fmt.Sprintf("%.1e", v)
	default:
		return fmt.Sprintf("%.*g", significantDigits, v)
	}
}

func formatPercent(v float64) string { return fmt.Sprintf("%.1f %%", 100*v) }

// formatValue formats a value in the printed unit of its figure.
func formatValue(figure string, v float64) string {
	switch figure {
	case figureMemory, figureHeap:
		return fmt.Sprintf("%.2f MB", v/(1<<20))
	case figureProcessor:
		return fmt.Sprintf("%.3f %% of a core", 100*v)
	case figureTraffic:
		return fmt.Sprintf("%.2f KB/s", v/(1<<10))
	default:
		return formatNumber(v) + "/s"
	}
}

func formatLimit(figure string, v float64) string {
	if v == 0 {
		return "-"
	}
	return formatValue(figure, v)
}

func formatMargin(v float64, status string) string {
	if status == statusNone || status == statusPart {
		return "-"
	}
	if v >= maxMargin {
		return "> 1 M"
	}
	return formatNumber(v) + "x"
}
