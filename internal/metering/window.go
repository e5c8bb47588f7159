package metering

import "time"

// Window numbers a window of the clock: window k starts at k lengths after the start of
// 1970.
type Window int64

// WindowAt returns the window of a moment.
func WindowAt(moment time.Time, length time.Duration) Window {
	return Window(moment.UnixNano() / int64(length))
}

// End returns when a window is over.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}
