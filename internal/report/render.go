package report

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"html/template"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	chartWidth  = 8 * vg.Inch
	chartHeight = 4.5 * vg.Inch
)

// Render writes a PNG file for each chart (base-1.png and so on) and the HTML page (base.html),
// which embeds the charts.
func Render(base string, result Result) error {
	page := pageContent{Result: result}
	for i, chart := range result.Charts {
		image, err := drawPNG(chart)
		if err != nil {
			return err
		}
		if err := os.WriteFile(fmt.Sprintf("%s-%d.png", base, i+1), image, fileMode); err != nil {
			return err
		}
		source := "data:image/png;base64," + base64.StdEncoding.EncodeToString(image)
		// The data URL holds only a PNG drawn here, so that it is safe to mark as trusted.
		page.Images = append(page.Images, pageImage{Title: chart.Title, Source: template.URL(source)})
	}
	var buffer bytes.Buffer
	if err := pageTemplate.Execute(&buffer, page); err != nil {
		return err
	}
	return os.WriteFile(base+".html", buffer.Bytes(), fileMode)
}

// drawPNG draws a chart as a PNG image. Lines without points are left out.
func drawPNG(chart Chart) ([]byte, error) {
	chartPlot := plot.New()
	chartPlot.Title.Text = chart.Title
	chartPlot.X.Label.Text = chart.XLabel
	chartPlot.Y.Label.Text = chart.YLabel
	if chart.LogX {
		chartPlot.X.Scale = plot.LogScale{}
		chartPlot.X.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	for i, line := range chart.Lines {
		points := make(plotter.XYs, 0, len(line.Points))
		for _, point := range line.Points {
			points = append(points, plotter.XY{X: point.X, Y: point.Y})
		}
		if len(points) == 0 {
			continue
		}
		linePlot, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		linePlot.Color = plotutil.Color(i)
		linePlot.Dashes = plotutil.Dashes(i)
		chartPlot.Add(linePlot)
		chartPlot.Legend.Add(line.Name, linePlot)
	}
	chartPlot.Legend.Top = false
	var buffer bytes.Buffer
	writer, err := chartPlot.WriterTo(chartWidth, chartHeight, "png")
	if err != nil {
		return nil, err
	}
	_, err = writer.WriteTo(&buffer)
	return buffer.Bytes(), err
}

// pageContent is the input of pageTemplate.
type pageContent struct {
	Result Result
	Images []pageImage
}

// pageImage is a chart with its image as a data URL.
type pageImage struct {
	Title  string
	Source template.URL
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Result.Name}}</title>
<style>body{font:15px sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse;margin:1em 0}
td,th{border:1px solid #ccc;padding:3px 10px;text-align:right}td:first-child,th:first-child{text-align:left}
img{max-width:100%}code{background:#eee;padding:2px 4px}</style>
<h1>{{.Result.Name}}</h1><p>{{.Result.Description}}</p>
<p>Run at {{.Result.Started.UTC.Format "2006-01-02 15:04:05"}} UTC. Repeat with <code>{{.Result.Command}}</code></p>
{{range .Result.Tables}}<h2>{{.Title}}</h2><table><tr>{{range .Columns}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>{{end}}
{{range .Images}}<h2>{{.Title}}</h2><img alt="{{.Title}}" src="{{.Source}}">{{end}}</html>
`))
