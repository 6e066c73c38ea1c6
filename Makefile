# Seeds are fixed so that every run gives the same verdict.
SEED ?= 1
GO ?= go
PACKAGES ?= ./...
TEST_TIMEOUT ?= 8m
# Random checks of one fuzz run.
CHECKS ?= 5000
FUZZ_PACKAGES ?= ./internal/proof ./internal/owner ./internal/scatter ./internal/rollout
FUZZ_TIMEOUT ?= 2h
# Time of each native fuzz run of a decoder, whose seeds run in every make test.
DECODER_FUZZ_TIME ?= 1m

.PHONY: build demo test bench capacity fuzz mutants soak lint format generate generate-check

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	bin/demo

# RUN and SKIP choose tests by name.
test:
	$(GO) test -race -timeout $(TEST_TIMEOUT) $(if $(RUN),-run '$(RUN)') $(if $(SKIP),-skip '^($(SKIP))$$') $(PACKAGES)

# Measures all query policies in virtual time: a table, the goals, JSON lines.
bench:
	@mkdir -p out
	@$(GO) test ./internal/bench -run '^TestPolicies$$' -count 1 -timeout 20m -v -policies -seed $(SEED) \
		-lines $(CURDIR)/out/policies.jsonl > out/policies.txt; status=$$?; \
		grep -v '^ *\(===\|---\)' out/policies.txt; exit $$status

# Long run of the stateful tests against oracles, with new seeds:
# make fuzz SEED=20260101 CHECKS=50000. A failure prints its steps and its seed.
# It runs without the race detector, whose runtime at times fails an internal
# check ("tsan_rtl.cpp:346") after some thousand bubbles in one process.
fuzz:
	$(GO) test ./internal/catalog -run '^$$' -fuzz '^FuzzPeerState$$' -fuzztime $(DECODER_FUZZ_TIME)
	$(GO) test ./platform -run '^$$' -fuzz '^FuzzDecodeEntries$$' -fuzztime $(DECODER_FUZZ_TIME)
	$(GO) test ./platform -run '^$$' -fuzz '^FuzzDecodeRequest$$' -fuzztime $(DECODER_FUZZ_TIME)
	$(GO) test ./platform -run '^$$' -fuzz '^FuzzCallerRequest$$' -fuzztime $(DECODER_FUZZ_TIME)
	$(GO) test ./internal/backend/httpconn -run '^$$' -fuzz '^FuzzResponse$$' -fuzztime $(DECODER_FUZZ_TIME)
	$(GO) test ./internal/quota -run '^$$' -fuzz '^FuzzMessages$$' -fuzztime $(DECODER_FUZZ_TIME)
	$(GO) test ./internal/ratelimit -run '^$$' -fuzz '^FuzzMessages$$' -fuzztime $(DECODER_FUZZ_TIME)
	$(GO) test -count=1 -timeout $(FUZZ_TIMEOUT) $(FUZZ_PACKAGES) -run 'Stateful|AgainstOracle|UnderFaults' \
		-rapid.seed=$(SEED) -rapid.checks=$(CHECKS)

# Breaks one condition at a time and expects its test to fail.
mutants:
	$(GO) run ./internal/tools/mutants

# Runs edged as real processes under random faults, several seeds at a time:
# make soak SEED=100 SEEDS=50. A seed that fails goes into failedSeeds of
# platform/soak_test.go with a line on its cause.
SEEDS ?= 8
soak:
	$(GO) test ./platform -run '^TestSoak$$' -count 1 -timeout 30m -v -parallel 8 -soak.seed $(SEED) -soak.seeds $(SEEDS)

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
