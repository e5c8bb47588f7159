// Package report holds the results of demos, loads and experiments and writes
// them as JSON, CSV, plots and one HTML page that opens without a network.
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
	Name        string    `json:"name"`
	Description string    `json:"description"`
	Started     time.Time `json:"started"`
	// Command repeats the experiment.
	Command string  `json:"command"`
	Tables  []Table `json:"tables"`
	Charts  []Chart `json:"charts"`
}

// Table is a list of figures.
type Table struct {
	Title   string     `json:"title"`
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

// Chart is a set of lines over common axes.
type Chart struct {
	Title  string `json:"title"`
	XLabel string `json:"x_label"`
	YLabel string `json:"y_label"`
	LogX   bool   `json:"log_x,omitempty"`
	Lines  []Line `json:"lines"`
}

// Line is one series of points.
type Line struct {
	Name   string  `json:"name"`
	Points []Point `json:"points"`
}

// Point is one point of a line.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// Write writes the result's JSON, CSV, plots and HTML into a directory and
// returns the path of the HTML page.
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

// Read reads a result's JSON.
func Read(path string) (Result, error) {
	var result Result
	content, err := os.ReadFile(path)
	if err != nil {
		return result, err
	}
	return result, errors.Wrapf(json.Unmarshal(content, &result), "decode %s", path)
}

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

// Milliseconds formats a duration for a table.
func Milliseconds(duration time.Duration) string {
	return strconv.FormatFloat(float64(duration)/float64(time.Millisecond), 'f', 3, 64)
}
