// Package report writes the results of demos, load tests and experiments as JSON, CSV, PNG
// charts and a self-contained HTML page that needs no network.
package report

import (
	"encoding/csv"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Result is the outcome of one experiment.
type Result struct {
	// Name is the base name of the files that Write creates.
	Name        string    `json:"name"`
	Description string    `json:"description"`
	Started     time.Time `json:"started"`
	// Command is the command line that reproduces the experiment.
	Command string  `json:"command"`
	Tables  []Table `json:"tables"`
	Charts  []Chart `json:"charts"`
}

// Table is a table of formatted values.
type Table struct {
	Title   string     `json:"title"`
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

// Chart is a line chart.
type Chart struct {
	Title  string `json:"title"`
	XLabel string `json:"x_label"`
	YLabel string `json:"y_label"`
	// LogX makes the x axis logarithmic.
	LogX  bool   `json:"log_x,omitempty"`
	Lines []Line `json:"lines"`
}

// Line is a named data series of a chart.
type Line struct {
	Name   string  `json:"name"`
	Points []Point `json:"points"`
}

// Point is a data point of a line.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// Write writes a result as JSON, CSV, PNG charts and HTML to a directory, which it creates if
// needed, and returns the path of the HTML page.
func Write(directory string, result Result) (string, error) {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return "", errors.Wrap(err, "create output directory")
	}
	content, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return "", err
	}
	base := filepath.Join(directory, result.Name)
	if err := os.WriteFile(base+".json", content, fileMode); err != nil {
		return "", err
	}
	if err := writeCSV(base+".csv", result.Tables); err != nil {
		return "", err
	}
	return base + ".html", Render(base, result)
}

// Read reads a result from the JSON file that Write wrote.
func Read(path string) (Result, error) {
	var result Result
	content, err := os.ReadFile(path)
	if err != nil {
		return result, err
	}
	return result, errors.Wrapf(json.Unmarshal(content, &result), "decode %s", path)
}

// writeCSV writes the tables to one file, with the title of its table in front of each row.
func writeCSV(path string, tables []Table) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	writer := csv.NewWriter(file)
	for _, table := range tables {
		for _, row := range append([][]string{table.Columns}, table.Rows...) {
			if err := writer.Write(append([]string{table.Title}, row...)); err != nil {
				return err
			}
		}
	}
	writer.Flush()
	return writer.Error()
}

// Milliseconds formats a duration in milliseconds with three decimals.
func Milliseconds(duration time.Duration) string {
	return strconv.FormatFloat(float64(duration)/float64(time.Millisecond), 'f', 3, 64)
}
