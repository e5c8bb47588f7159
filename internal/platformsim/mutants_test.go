package platformsim

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/mutation"
)

// mutants lists the mechanisms that TestEachMechanismIsNeeded disables, one at a time, and the
// promise that each of them protects.
var mutants = []mutation.Mutant{
	{Promise: "VERSION: no text of old weights", Edits: []mutation.Edit{
		mutation.Replace("internal/schedule/runs.go", "if event.Version < entry.job.spec.MinVersion {", "if false {"),
		mutation.Replace("internal/schedule/placement.go", "if !known || version < entry.job.spec.MinVersion ||", "if !known ||"),
		mutation.Replace("internal/schedule/text.go", "event.ID != t.events+1 || event.Version < constraint.MinVersion", "event.ID != t.events+1"),
		mutation.Replace("internal/schedule/text.go", "return versions[0] >= c.MinVersion", "return true"),
	}},
	{Promise: "ORDER: parts of two runs are not joined", Test: "TestPartsOfTwoRunsAreNeverJoined", Package: "./internal/ledger", Edits: []mutation.Edit{
		mutation.Replace("internal/ledger/ledger.go", "if item.Previous != 0 && item.Previous != saved.ID {", "if false {"),
	}},
	{Promise: "TWICE: the first result counts", Edits: []mutation.Edit{
		mutation.Replace("internal/ledger/ledger.go", "if !job.HasItem(itemResult.ItemId) || job.HasResult(itemResult.ItemId) {\n\t\treturn\n\t}\n\tadded", "if !job.HasItem(itemResult.ItemId) {\n\t\treturn\n\t}\n\tadded"),
	}},
	{Promise: "UNASKED: an ended job stops", Test: "TestEndedJobIsStopped", Package: "./internal/platformnode", Edits: []mutation.Edit{
		mutation.Replace("internal/platformnode/executor.go", "stopped := e.scheduler.DropJob(change.Job.ID, time.Now())", "var stopped []schedule.Key"),
	}},
	{Promise: "ONE: orders of two nodes lie apart", Edits: []mutation.Edit{
		mutation.Replace("internal/platformnode/claims.go", "recent = !last.IsZero() &&", "recent = false &&"),
	}},
	{Promise: "ONE: a former holder finds the new one in the log", Test: "TestFormerHolderFindsTheNewOneInTheLog", Package: "./internal/platformnode", Edits: []mutation.Edit{
		mutation.Replace("internal/platformnode/claims.go", "superseded = newest.FencingToken > fence &&", "superseded = false &&"),
	}},
	{Promise: "REFUSED: items without their job never run", Test: "TestRefusalBeforeTheJobIsStoredGuaranteesThatItNeverRuns", Package: "./internal/platformnode", Edits: []mutation.Edit{
		mutation.Replace("internal/platformnode/batch.go", "if result.Is(err, result.LogUnknown) || result.Is(err, result.LogUnavailable) {", "if false {"),
	}},
	{Promise: "LOST: a 404 needs a look at the log", Edits: []mutation.Edit{
		mutation.Replace("internal/platformnode/jobs.go", "if err := s.follower.CatchUp(ctx); err != nil {", "if err := ctx.Err(); err != nil {"),
	}},
	{Promise: "MIXED: an answer belongs to its request", Edits: []mutation.Edit{
		mutation.Replace("platform/protocol.go", "echoed != \"\" && echoed != requestID {", "false && echoed != requestID {"),
	}},
	{Promise: "REFUSED: a lost append is not called not done", Test: "TestOnlyARefusedAppendIsLogUnavailable", Package: "./platform", Edits: []mutation.Edit{
		mutation.Replace("platform/store.go", "return result.Wrap(result.LogUnknown, err, \"wait for the log's response\")", "return result.Wrap(result.LogUnavailable, err, \"wait for the log's response\")"),
	}},
	{Promise: "DRAIN: leaving samplers get nothing new", Edits: []mutation.Edit{
		mutation.Replace("internal/routing/not_leaving.go", "return !endpoint.Leaving", "return true"),
		mutation.Replace("internal/schedule/sampler.go", "if s.Leaving || s.evacuated || now.Before(s.notBefore) {", "if s.evacuated || now.Before(s.notBefore) {"),
	}},
	{Promise: "DRAIN: a former incarnation's entry replaces none", Test: "TestEntryOfAFormerIncarnationNeverReplacesANewer", Package: "./internal/samplerregistry", Edits: []mutation.Edit{
		mutation.Replace("internal/samplerregistry/registry.go", "if sampler.StartedAtMs < r.newestStart(sampler.ID) {", "if false {"),
	}},
	{Promise: "LOST: runs end with the incarnation", Test: "TestRunsOfAPreviousIncarnationMoveAtOnce", Package: "./internal/schedule", Edits: []mutation.Edit{
		mutation.Replace("internal/schedule/samplers.go", "case known && sampler.StartedAtMs > state.StartedAtMs:", "case false:"),
	}},
	{Promise: "DRAIN: an entry that turns bad names no sampler", Test: "TestEntriesOfAnotherWriterNameNoSampler", Edits: []mutation.Edit{
		mutation.Replace("platform/follow.go", "u.registry.Reject(record.Key, now)", "false"),
	}},
	{Promise: "DRAIN: a bad record stops no follower", Test: "TestMalformedRecordsStayInThePage", Package: "./platform", Edits: []mutation.Edit{
		mutation.Replace("platform/store.go", "			decoded.Malformed = err.Error()\n", "			return page, err\n"),
	}},
	{Promise: "EVAC: further attempts ask too", Test: "TestFailedRequestsStayOutOfAnEvacuatedZone", Package: "./internal/platformsim", Edits: []mutation.Edit{
		mutation.Replace("internal/routing/not_evacuated.go", "Keep(_ *Request, endpoint *Endpoint) bool { return !endpoint.Evacuated }", "Keep(request *Request, endpoint *Endpoint) bool { return !endpoint.Evacuated || len(request.Excluded) > 0 }"),
	}},
	{Promise: "EVAC: evacuated samplers get no item", Edits: []mutation.Edit{
		mutation.Replace("internal/schedule/sampler.go", "if s.Leaving || s.evacuated ||", "if s.Leaving ||"),
	}},
	{Promise: "EVAC: evacuated samplers get no order", Test: "TestEvacuatedSamplersGetNoWeightOrders", Package: "./internal/platformnode", Edits: []mutation.Edit{
		mutation.Replace("internal/platformnode/weights.go", "if !load.Evacuated {", "if true {"),
	}},
	{Promise: "EVAC: evacuations are known before routes", Test: "TestEvacuationsAreAppliedBeforeTheRoutes", Package: "./platform", Edits: []mutation.Edit{
		mutation.Replace("platform/follow.go", "\t\tnode.ApplyEvacuations(evacuated.sorted())\n\t\tfor _, record := range documents {\n\t\t\tapplyDocument(node, record)\n\t\t}\n", "\t\tfor _, record := range documents {\n\t\t\tapplyDocument(node, record)\n\t\t}\n\t\tnode.ApplyEvacuations(evacuated.sorted())\n"),
	}},
	{Promise: "ROUTE: only keys of tenants are admitted", Test: "TestOnlyKeysOfTenantsAreAdmitted", Package: "./internal/catalog", Edits: []mutation.Edit{
		mutation.Replace("internal/catalog/admission.go", "if err != nil && route.Public {", "if err != nil {"),
	}},
	{Promise: "CONFIG: a key is asked about before every attempt", Test: "TestRevokedKeyIsDeniedBeforeTheNextAttempt", Package: "./internal/platformnode", Edits: []mutation.Edit{
		mutation.Replace("internal/platformnode/admission.go", "tenant, err := current.Authenticate(admitted.Route, key)\n\t\tif err != nil {\n\t\t\treturn n.deny(err)", "tenant, err := current.Authenticate(admitted.Route, key)\n\t\tif err != nil {\n\t\t\treturn nil"),
	}},
	{Promise: "HOME: the tenant's regions bind beside the route's", Test: "TestCalmDayOfTwoRegions", Package: "./internal/platformsim", Edits: []mutation.Edit{
		mutation.Replace("internal/platformnode/regions.go", "return route.Regions.Intersect(tenant.Regions)", "_ = tenant\n\treturn route.Regions"),
	}},
	{Promise: "HOME: regions bind every attempt", Test: "TestRegionsBindEveryAttempt", Package: "./internal/dispatch", Edits: []mutation.Edit{
		mutation.Replace("internal/dispatch/dispatcher.go", "route.Excluded = append(route.Excluded, failed.endpoint.ID)", "route.Excluded, route.Regions = append(route.Excluded, failed.endpoint.ID), locality.Regions{}"),
	}},
	{Promise: "HOME: a node elsewhere reads no body", Test: "TestCalmDayOfTwoRegions", Package: "./internal/platformsim", Edits: []mutation.Edit{
		mutation.Replace("internal/platformnode/regions.go", "return regions.Restricted() && !regions.Allows(n.settings.Topology.Region(n.settings.Zone))", "return false && regions.Restricted()"),
	}},
	{Promise: "HOME: items go to samplers of their regions", Test: "TestItemsStayInTheirRegions", Package: "./internal/schedule", Edits: []mutation.Edit{
		mutation.Replace("internal/schedule/item.go", "if p.Regions.Restricted() && !p.Regions.Allows(p.Topology.Region(sampler.Zone)) {", "if false {"),
	}},
	{Promise: "UNASKED: a run ahead is its tenant's", Test: "TestSpeculativeRunContinuesInTheJobThatResubmitsTheItem", Package: "./internal/schedule", Edits: []mutation.Edit{
		mutation.Replace("internal/schedule/speculative.go", "\t\tTenant: i.job.spec.Tenant,\n", ""),
	}},
	{Promise: "Duty: a request counts once", Test: "TestSumIsThatOfTheNewestEntriesWhateverIsRepeated", Package: "./internal/metering", Edits: []mutation.Edit{
		mutation.Replace("internal/metering/aggregator.go", "known.Sequence < counts.Sequence {", "known.Sequence > 0 {"),
	}},
	{Promise: "ONE: the first decision of a window stands", Test: "TestFirstDecisionOfAWindowStands", Package: "./internal/metering", Edits: []mutation.Edit{
		mutation.Replace("internal/metering/aggregator.go", "if state.decided == nil {", "if true {"),
	}},
	{Promise: "FAILBACK: a cold sampler gets its budget", Test: "TestColdSamplersAreSpared", Edits: []mutation.Edit{
		mutation.Replace("internal/coldlimit/budget.go", "return max(b.limit(now)-len(b.sent), 0)", "return Unlimited"),
	}},
	{Promise: "FAILBACK: nodes share what a cold back end bears", Test: "TestColdSharesAddUpToTheBudget", Package: "./internal/routing", Edits: []mutation.Edit{
		mutation.Replace("internal/routing/cold_share.go", "recipients := min(len(nodes), requests)", "recipients := min(1, requests)\n\trank = 0"),
	}},
	{Promise: "FAILBACK: a former executor's requests count", Test: "TestTwoSendersStayWithinTheLimitDuringATakeover", Package: "./internal/coldlimit", Edits: []mutation.Edit{
		mutation.Replace("internal/coldlimit/budget.go", "maxSenders = 2", "maxSenders = 1"),
	}},
	{Promise: "BUDGET: a request that is held goes nowhere", Test: "TestRequestThatCrashesItsSamplersIsHeldBack", Edits: []mutation.Edit{
		mutation.Replace("internal/quarantine/guard.go", "\tcase Quarantined:\n\t\treturn nil, g.refuse(digest, time.Until(until))\n", "\tcase Quarantined:\n\t\t_ = until\n"),
	}},
	{Promise: "LOST: an item under which samplers crashed is placed", Test: "TestItemDuringCrashesIsCompleted", Edits: []mutation.Edit{
		mutation.Replace("internal/schedule/runs.go", "maxItemRetryDelay = 500 * time.Millisecond", "maxItemRetryDelay = time.Hour"),
		mutation.Replace("internal/schedule/runs.go", "itemRetryDelay<<min(i.refusals, 5)", "itemRetryDelay<<(3*i.refusals)"),
	}},
	{Promise: "LOST: a planned stop refuses what may outlast it", Test: "TestPlannedStopAnswersEveryRequest", Edits: []mutation.Edit{
		mutation.Replace("internal/platformnode/drain.go", "end == nil || !deadline.After(*end)", "end == nil || deadline.Before(*end) || true"),
	}},
	{Promise: "LOST: a planned stop answers what outlasts it", Test: "TestPlannedStopAnswersEveryRequest", Edits: []mutation.Edit{
		mutation.Replace("platform/process.go", "p.endRequests(result.ErrNodeStopping)", "_ = result.ErrNodeStopping"),
	}},
	{Promise: "LOST: a reward call under which back ends crashed is made", Test: "TestItemDuringCrashesIsCompleted", Edits: []mutation.Edit{
		mutation.Replace("internal/platformnode/rewards.go", "\t\tNeverSuspect: true,\n", ""),
	}},
	{Promise: "BUDGET: nodes hear of the ends that others saw", Test: "TestRequestThatCrashesItsSamplersIsHeldBack", Edits: []mutation.Edit{
		mutation.Replace("internal/platformnode/suspects.go", "\ts.requests.Merge(record)\n", "\t_ = record\n"),
	}},
	{Promise: "BUDGET: one node makes a trial", Test: "TestFirstOfConcurrentClaimsInTheLogWins", Package: "./internal/quarantine", Edits: []mutation.Edit{
		mutation.Replace("internal/quarantine/guard.go", "won := g.registry.OwnsTrial(digest, claimant)", "won := true"),
	}},
	{Promise: "BUDGET: what stood beside is not held", Test: "TestRequestRunningBesideTheCauseIsNotQuarantined", Package: "./internal/quarantine", Edits: []mutation.Edit{
		mutation.Replace("internal/quarantine/registry.go", "if len(other.CrashedBackEnds) > crashes && other.reachedLimit(policy)", "if false && other.reachedLimit(policy)"),
	}},
	{Promise: "In touch: suspension counts", Test: "TestSuspendedNodeHasNoCurrentLog", Package: "./internal/platformnode", Edits: []mutation.Edit{
		mutation.Replace("internal/clock/clock.go", "return now.Sub(m.at) + m.SuspendedTime()", "return now.Sub(m.at)"),
	}},
	{Promise: "MIXED: a malformed answer is no answer", Test: "TestMalformedAnswersReachNoClient", Edits: []mutation.Edit{
		mutation.Replace("internal/network/transport.go", "err := checkHead(response); err != nil", "err := checkHead(response); err != nil && false"),
	}},
	{Promise: "MIXED: an answer that was reset is not complete", Test: "TestAnswerResetDuringUploadIsNotComplete", Package: "./internal/dispatch", Edits: []mutation.Edit{
		mutation.Replace("internal/network/exchange.go", "if e.connection.endRequest() {", "if e.connection.endRequest() || true {"),
	}},
	{Promise: "MIXED: a cut event is no event", Edits: []mutation.Edit{
		mutation.Replace("platform/events.go", "return 0, nil, io.ErrUnexpectedEOF", "return len(data), data, nil"),
		mutation.Replace("platform/events.go", "	if err := r.scanner.Err(); err != nil {\n\t\treturn event, err\n\t}\n\tif inEvent {\n\t\treturn event, io.ErrUnexpectedEOF\n\t}\n", "	if inEvent {\n\t\treturn r.accept(event, hasData)\n\t}\n"),
	}},
}

// Guards against mutants that no longer apply: three did not after code had moved to another file.
func TestMutantsEditWhatStands(t *testing.T) {
	for _, mutant := range mutants {
		for _, edit := range mutant.Edits {
			content, err := os.ReadFile(filepath.Join("..", "..", edit.File))
			require.NoError(t, err)
			require.Equal(t, 1, strings.Count(string(content), edit.From), "%s: %s", mutant.Promise, edit.File)
		}
	}
}
