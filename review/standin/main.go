// Command standin plays the cases of the review: it starts the project's program as separate
// processes, with small stand-ins for clients, samplers and the platform's store around them.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder keeps what was sent, answered and run, and writes it to a file in the order of time.
type recorder struct {
	mutex   sync.Mutex
	started time.Time
	lines   []line
}

type line struct {
	at   time.Time
	text string
}

// log adds a line with the time since the start.
func (r *recorder) log(format string, arguments ...any) {
	r.logAt(time.Now(), format, arguments...)
}

func (r *recorder) logAt(at time.Time, format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lines = append(r.lines, line{at, fmt.Sprintf(format, arguments...)})
}

// write writes the record to a file.
func (r *recorder) write(path string) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	slices.SortStableFunc(r.lines, func(a, b line) int { return a.at.Compare(b.at) })
	var text strings.Builder
	for _, entry := range r.lines {
		fmt.Fprintf(&text, "%8.3f %s\n", entry.at.Sub(r.started).Seconds(), entry.text)
	}
	return os.WriteFile(path, []byte(text.String()), 0o644)
}

// verdict is the exit code of a case.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	failed verdict = 2
)

// cases are the cases by name.
var cases = map[string]func(*cluster, *recorder, bool) verdict{
	"pool": playPool, "moved": playMoved, "single": playSingle, "streams": playStreams, "long": playLong,
}

// timeLimit bounds a case; a script may take 120 s.
const timeLimit = 110 * time.Second

func main() { os.Exit(int(run())) }

func run() verdict {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return failed
	}
	c, err := newCluster()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer c.close()
	record := &recorder{started: time.Now()}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	ended := make(chan verdict, 1)
	go func() { ended <- cases[os.Args[1]](c, record, os.Getenv("TROUBLE") != "0") }()
	result := failed
	select {
	case result = <-ended:
	case <-interrupted:
		record.log("interrupted")
	case <-time.After(timeLimit):
		record.log("the case did not end in time")
	}
	record.log("verdict: %s", result)
	if err := record.write(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	fmt.Println(os.Args[1], result)
	return result
}

// String implements fmt.Stringer.
func (v verdict) String() string {
	return map[verdict]string{held: "the rule held", broken: "the rule was broken", failed: "the case could not run"}[v]
}
