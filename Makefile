# make test        formatter, vet, staticcheck, all tests (what CI runs)
# make demo        both deployments with faults, ends with a table
# make invariants  the tests of I1 to I11, one line each
# make bench       benchmarks as ratios to baselines in the same run
# make slopes      the slopes behind docs/CAPACITY.md
# make generate    protobuf and drpc code (the result is committed)

MODULES := core entry limctl stand demo platform
PACKAGES := $(MODULES:%=./%/...)
GO := go

.PHONY: all build test lint unit demo invariants bench slopes generate

all: build

build:
	@mkdir -p bin
	$(GO) build -o bin/ ./entry ./limctl ./stand ./demo ./platform

lint:
	@out=$$($(GO) tool gofumpt -l $(MODULES) | grep -Ev '\.pb\.go$$' || true); if [ -n "$$out" ]; then echo "gofumpt:"; echo "$$out"; exit 1; fi
	$(GO) vet $(PACKAGES)
	$(GO) tool staticcheck -checks all,-ST1000,-ST1003,-ST1005 $(PACKAGES)

unit:
	$(GO) test -race -count=1 $(PACKAGES)

test: lint unit

generate:
	cd entry/peer && protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. peer.proto
	cd entry/relay && protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. relay.proto

demo: build
	bin/demo

invariants:
	$(GO) run ./demo/invar

bench:
	$(GO) run ./demo/slopes --bench . --time 1s

slopes:
	$(GO) run ./demo/slopes
