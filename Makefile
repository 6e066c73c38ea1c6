# Seeds are fixed so that every run gives the same verdict.
SEED ?= 1
GO ?= go
PACKAGES ?= ./...
TEST_TIMEOUT ?= 8m

.PHONY: build demo test bench capacity lint format generate generate-check

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	bin/demo

test:
	$(GO) test -race -timeout $(TEST_TIMEOUT) $(PACKAGES)

# Measures all query policies in virtual time: a table, the goals, JSON lines.
bench:
	@mkdir -p out
	$(GO) test ./internal/bench -run '^TestPolicies$$' -count 1 -timeout 20m -v -policies -seed $(SEED) -lines $(CURDIR)/out/policies.jsonl | grep -v '^ *\(===\|---\)'

# Measures what each duty of a host costs by size: a table and JSON lines.
CAPACITY_LINES = $(CURDIR)/out/capacity.jsonl
CAPACITY_CORES ?= 4
capacity: build
	@mkdir -p out && rm -f $(CAPACITY_LINES)
	$(GO) build -o bin/ ./internal/tools/capacity
	GOMAXPROCS=$(CAPACITY_CORES) bin/capacity --lines $(CAPACITY_LINES) measure
	$(GO) test ./internal/tools/capacity -run '^TestVirtual$$' -count 1 -cpu $(CAPACITY_CORES) -measure $(CAPACITY_LINES)
	@cat $(CAPACITY_LINES)
	@bin/capacity --lines $(CAPACITY_LINES) table

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

format:
	@out="$$(git ls-files '*.go' | grep -v '\.pb\.go$$' | xargs $(GO) tool gofumpt -l)"; \
	if [ -n "$$out" ]; then echo "not formatted: $$out"; exit 1; fi

generate:
	$(GO) run ./internal/tools/genproto internal/peer/peerpb/peer.proto

generate-check:
	$(GO) run ./internal/tools/genproto --check internal/peer/peerpb/peer.proto
