package gateway

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/rollout"
)

// versionRequest is the body in which a trainer announces a weight version.
type versionRequest struct {
	Version uint64 `json:"version"`
}

type versionAnswer struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

func (g *Gateway) handleVersion(writer http.ResponseWriter, request *http.Request, parameters httprouter.Params) {
	answer, err := g.serveVersion(writer, request, parameters)
	g.writeResult(writer, answer, err)
}

func (g *Gateway) serveVersion(writer http.ResponseWriter, request *http.Request, parameters httprouter.Params) (any, error) {
	tenant, model, err := g.model(parameters)
	if err != nil {
		return nil, err
	}
	var body versionRequest
	if err := decodeJSON(writer, request, maxJSONBytes, &body); err != nil {
		return nil, err
	}
	if body.Version == 0 {
		return nil, result.New(result.MalformedRequest, "must be at least 1").WithField("version")
	}
	if err := g.services.Jobs.AnnounceVersion(request.Context(), tenant.Name, model.Name, body.Version); err != nil {
		return nil, err
	}
	return versionAnswer{Model: model.Name, Version: body.Version}, nil
}

type submitAnswer struct {
	JobID string `json:"job_id"`
	Slots int    `json:"slots"`
}

func (g *Gateway) handleSubmit(writer http.ResponseWriter, request *http.Request, parameters httprouter.Params) {
	answer, err := g.serveSubmit(writer, request, parameters)
	g.writeResult(writer, answer, err)
}

func (g *Gateway) serveSubmit(writer http.ResponseWriter, request *http.Request, parameters httprouter.Params) (any, error) {
	tenant, err := g.tenant(parameters)
	if err != nil {
		return nil, err
	}
	var spec rollout.Spec
	if err := decodeJSON(writer, request, maxJobBytes, &spec); err != nil {
		return nil, err
	}
	_, model, err := findModel(tenant, spec.Model)
	if err != nil {
		return nil, err
	}
	if err := spec.Validate(model.MaxTokens); err != nil {
		return nil, err
	}
	if err := g.services.Jobs.Submit(request.Context(), tenant.Name, spec); err != nil {
		return nil, err
	}
	return submitAnswer{JobID: spec.JobID, Slots: spec.Slots()}, nil
}

func (g *Gateway) handlePull(writer http.ResponseWriter, request *http.Request, parameters httprouter.Params) {
	answer, err := g.servePull(writer, request, parameters)
	g.writeResult(writer, answer, err)
}

func (g *Gateway) servePull(writer http.ResponseWriter, request *http.Request, parameters httprouter.Params) (any, error) {
	tenant, err := g.tenant(parameters)
	if err != nil {
		return nil, err
	}
	var pull rollout.Pull
	if err := decodeJSON(writer, request, maxJSONBytes, &pull); err != nil {
		return nil, err
	}
	if err := pull.Validate(); err != nil {
		return nil, err
	}
	return g.services.Jobs.Pull(request.Context(), tenant.Name, parameters.ByName("job"), pull)
}

func (g *Gateway) handleCancel(writer http.ResponseWriter, request *http.Request, parameters httprouter.Params) {
	tenant, err := g.tenant(parameters)
	if err == nil {
		err = g.services.Jobs.Cancel(request.Context(), tenant.Name, parameters.ByName("job"))
	}
	g.writeResult(writer, struct{}{}, err)
}

func (g *Gateway) writeResult(writer http.ResponseWriter, answer any, err error) {
	if err != nil {
		g.writeError(writer, err)
		return
	}
	g.writeJSON(writer, answer)
}
