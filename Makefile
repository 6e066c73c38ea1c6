# Seeds are fixed so that every run gives the same verdict.
SEED ?= 1
GO ?= go
PACKAGES ?= ./...
TEST_TIMEOUT ?= 8m

.PHONY: build demo test race bench lint format generate generate-check

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) test -timeout $(TEST_TIMEOUT) $(PACKAGES)

race:
	$(GO) test -race -timeout $(TEST_TIMEOUT) $(PACKAGES)

# Measures all query policies in virtual time: a table, the goals, JSON lines.
bench:
	@mkdir -p out
	@$(GO) test ./internal/bench -run '^TestPolicies$$' -count 1 -timeout 20m -v -policies -seed $(SEED) \
		-lines $(CURDIR)/out/policies.jsonl > out/policies.txt; status=$$?; \
		grep -v '^ *\(===\|---\)' out/policies.txt; exit $$status

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
