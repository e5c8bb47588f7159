package routing

// ServesVersion keeps engines that report the model at the wanted version or a
// later one. An engine without any report is kept: it may be new, and what it
// produces is judged by the versions on its stream.
type ServesVersion struct{}

// Keep implements Filter.
func (ServesVersion) Keep(request *Request, endpoint *Endpoint) bool {
	if request.Model == "" || endpoint.ReportedAt.IsZero() {
		return true
	}
	version, ok := endpoint.Report.Versions[request.Model]
	return ok && version >= request.MinVersion
}
