# Targets for users and developers. `make demo` and `make test` are the two
# commands of the README; both work on a machine with only Go and make.

GO ?= go
BIN := bin
SEEDS ?= 20
FIRST_SEED ?= 1
OUT ?= out

.PHONY: demo test race check build fuzz generate clean

demo:
	$(GO) run ./cmd/pathbend-lab demo

test:
	$(GO) test -count=1 ./...

race:
	$(GO) test -race -count=1 ./...

check: build
	@unformatted="$$(gofmt -l .)"; if [ -n "$$unformatted" ]; then echo "not gofmt clean: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Regenerates the committed protobuf code; needs protoc and protoc-gen-go.
generate:
	protoc -I . --go_out=. --go_opt=paths=source_relative api/pathbend/v1/*.proto

clean:
	rm -rf $(BIN) $(OUT)
