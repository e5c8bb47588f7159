# Targets for users and developers. `make demo` and `make test`, the commands in the README,
# require only Go and make.

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

# Runs all tests. Tests listed in KNOWN-RED.txt must fail; their failures are printed but do
# not fail the target. Any other failure does.
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

# Runs the simulations with random faults for SEEDS seeds on all cores, for example:
# make simulate FIRST_SEED=1 SEEDS=200
simulate:
	$(GO) test -count=1 -timeout 0 ./internal/simulation -run TestSeeds -v \
		-first-seed=$(FIRST_SEED) -seeds=$(SEEDS) -duration=$(DURATION)
	$(GO) test -count=1 -timeout 0 ./internal/platformsim -run TestSeeds -v \
		-first-seed=$(FIRST_SEED) -seeds=$(SEEDS)

# Mutation tests: disables one mechanism at a time and requires the simulation or soak test to
# fail.
mutations:
	$(GO) test -count=1 -timeout 0 -tags mutation ./internal/simulation ./internal/platformsim ./internal/soak -run TestEachMechanismIsNeeded -v

# Injects faults into real processes on this machine for SOAK_TIME and checks what their callers
# observe. SEED=0 selects a random seed. For example: make soak SOAK_TIME=20m SEED=7
soak: build
	$(BIN)/pathbend-lab soak --time $(SOAK_TIME) --seed $(SEED)

# Runs all experiments and writes their reports to $(OUT).
experiments: build
	$(BIN)/pathbend-lab experiment overhead --out $(OUT)
	$(BIN)/pathbend-lab experiment overhead --at-most-once --out $(OUT)

fuzz:
	$(GO) test ./internal/peer -run '^$$' -fuzz FuzzReadEnvelope -fuzztime $(FUZZTIME)
	$(GO) test ./internal/config -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME)
	$(GO) test ./internal/controlstate -run '^$$' -fuzz FuzzApply -fuzztime $(FUZZTIME)
	$(GO) test ./internal/metering -run '^$$' -fuzz FuzzBook -fuzztime $(FUZZTIME)
	$(GO) test ./internal/ledger -run '^$$' -fuzz FuzzApply -fuzztime $(FUZZTIME)
	$(GO) test ./platform -run '^$$' -fuzz FuzzEvents -fuzztime $(FUZZTIME)
	$(GO) test ./platform -run '^$$' -fuzz FuzzDocuments -fuzztime $(FUZZTIME)
	$(GO) test ./platform -run '^$$' -fuzz FuzzSamplerEntries -fuzztime $(FUZZTIME)

# Regenerates the committed protobuf code. Requires protoc and protoc-gen-go.
generate:
	protoc -I . --go_out=. --go_opt=paths=source_relative api/pathbend/v1/*.proto

clean:
	rm -rf $(BIN) $(OUT)
