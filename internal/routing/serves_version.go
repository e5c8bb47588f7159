package routing

// ServesVersion keeps engines that may serve the model at the requested weight version or a
// later one: those that were observed or reported to do so, and those without a recent
// observation or report. The versions in an engine's answer stream are authoritative.
type ServesVersion struct{}

// Keep implements Filter.
func (ServesVersion) Keep(request *Request, endpoint *Endpoint) bool {
	return request.Model == "" || endpoint.mayServe(request.Model, request.MinVersion, request.Now)
}
