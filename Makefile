# Targets for users and developers. `make demo` and `make test` are the two
# commands of the README; both work on a machine with only Go and make.

GO ?= go
BIN := bin
SEEDS ?= 20
FIRST_SEED ?= 1
DURATION ?= 3m
FUZZTIME ?= 30s
SOAK_TIME ?= 2m
SEED ?= 0
OUT ?= out

.PHONY: demo test race check build fuzz simulate mutations soak experiments generate clean

demo:
	$(GO) run ./cmd/pathbend-lab demo

# Tests on the list KNOWN-RED.txt are run and printed like all others, and must fail;
# any other failure fails the target.
test: build
	$(GO) test -count=1 -json ./... | $(BIN)/pathbend-lab judge-tests --known KNOWN-RED.txt

race:
	$(GO) test -race -count=1 ./...

check: build
	@unformatted="$$(gofmt -l .)"; if [ -n "$$unformatted" ]; then echo "not gofmt clean: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Runs seeded fault schedules on all cores, for example
# make simulate FIRST_SEED=1 SEEDS=200
simulate:
	$(GO) test -count=1 -timeout 0 ./internal/simulation -run TestSeeds -v \
		-first-seed=$(FIRST_SEED) -seeds=$(SEEDS) -duration=$(DURATION)
	$(GO) test -count=1 -timeout 0 ./internal/platformsim -run TestSeeds -v \
		-first-seed=$(FIRST_SEED) -seeds=$(SEEDS)

# Switches one mechanism off at a time and expects the simulation to fail.
mutations:
	$(GO) test -count=1 -timeout 0 -tags mutation ./internal/simulation ./internal/platformsim ./internal/soak -run TestEachMechanismIsNeeded -v

# Troubles real processes on this machine for a while and judges what their callers
# see; a fresh seed unless one is given, for example make soak SOAK_TIME=20m SEED=7
soak: build
	$(BIN)/pathbend-lab soak --time $(SOAK_TIME) --seed $(SEED)

# Runs all experiments into $(OUT).
experiments: build
	$(BIN)/pathbend-lab experiment overhead --out $(OUT)
	$(BIN)/pathbend-lab experiment overhead --at-most-once --out $(OUT)

fuzz:
	$(GO) test ./internal/peer -run '^$$' -fuzz FuzzReadEnvelope -fuzztime $(FUZZTIME)
	$(GO) test ./internal/config -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME)
	$(GO) test ./internal/state -run '^$$' -fuzz FuzzApply -fuzztime $(FUZZTIME)
	$(GO) test ./internal/metering -run '^$$' -fuzz FuzzBook -fuzztime $(FUZZTIME)
	$(GO) test ./internal/ledger -run '^$$' -fuzz FuzzApply -fuzztime $(FUZZTIME)
	$(GO) test ./platform -run '^$$' -fuzz FuzzEvents -fuzztime $(FUZZTIME)
	$(GO) test ./platform -run '^$$' -fuzz FuzzDocuments -fuzztime $(FUZZTIME)
	$(GO) test ./platform -run '^$$' -fuzz FuzzSamplerEntries -fuzztime $(FUZZTIME)

# Regenerates the committed protobuf code; needs protoc and protoc-gen-go.
generate:
	protoc -I . --go_out=. --go_opt=paths=source_relative api/pathbend/v1/*.proto

clean:
	rm -rf $(BIN) $(OUT)
