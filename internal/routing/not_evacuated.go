package routing

// NotEvacuated keeps endpoints whose zone is not being evacuated.
type NotEvacuated struct{}

// Keep implements Filter.
func (NotEvacuated) Keep(_ *Request, endpoint *Endpoint) bool { return !endpoint.Evacuated }
