# Developer entry points. `make setup` once, then `make run` and `make test`.
GO ?= go
BIN := bin
COMMANDS := $(notdir $(wildcard cmd/*))

.PHONY: setup build run test fmt lint bench soak soak-sidecar measure measure-chains clean

setup:
	$(GO) mod download

build:
	@mkdir -p $(BIN)
	@for c in $(COMMANDS); do $(GO) build -o $(BIN)/$$c ./cmd/$$c || exit 1; done

run: build
	scripts/run-local.sh

test:
	scripts/test.sh

# Faults in random order against real processes, for example `make soak SOAK_DURATION=10m SOAK_SEED=7`.
SOAK_DURATION ?= 2m
SOAK_SEED ?= 1
soak:
	$(GO) test -race -count=1 -timeout 0 -run '^TestSoak$$' -v ./test/process -soak.duration=$(SOAK_DURATION) -soak.seed=$(SOAK_SEED)

# The same for the sidecar: one seed after the other, for example `make soak-sidecar SOAK_SEED=7 SOAK_SEEDS=50`.
SOAK_SEEDS ?= 5
soak-sidecar:
	$(GO) test -race -count=1 -timeout 0 -run '^TestSidecarSoak$$' -v ./test/sidecar -soak.seed=$(SOAK_SEED) -soak.seeds=$(SOAK_SEEDS)

fmt:
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "gofmt differs: $$out"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	scripts/check-wire.sh

clean:
	rm -rf $(BIN) .run

# Runs every scenario in virtual time, prints the figures and writes docs/measurements.md and docs/plots.
# Garbage collection takes a third of the time at the default of 100.
measure:
	@cd internal/measure && GOGC=300 $(GO) test -run '^TestMeasure$$' -count=1 -timeout 10m -measure -docs $(CURDIR)/docs

# Runs the chains of both users' deployments in virtual time and prints the figures (docs/chains.md), for example
# `make measure-chains CHAINS_LOAD=surge`.
CHAINS_LOAD ?=
measure-chains:
	@$(GO) test ./internal/measure/chains -run '^TestMeasureChains$$' -count=1 -v -args -chains -chains.load "$(CHAINS_LOAD)" 2>/dev/null | grep worth | sort
