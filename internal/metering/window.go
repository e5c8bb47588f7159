package metering

import "time"

// Window is the number of a fixed time window: window k starts k window lengths after the
// Unix epoch.
type Window int64

// WindowAt returns the window that contains a moment.
func WindowAt(moment time.Time, windowLength time.Duration) Window {
	return Window(moment.UnixNano() / int64(windowLength))
}

// End returns the end of the window, which is the start of the next one.
func (w Window) End(windowLength time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(windowLength))
}
