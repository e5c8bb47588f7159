package routing

// ServesVersion keeps engines that may serve the model at the wanted version or
// a later one: those that were seen or reported to, and those of which nothing
// recent is known. What an engine produces is judged by the versions on its
// stream.
type ServesVersion struct{}

// Keep implements Filter.
func (ServesVersion) Keep(request *Request, endpoint *Endpoint) bool {
	return request.Model == "" || endpoint.serves(request.Model, request.MinVersion, request.Now)
}
