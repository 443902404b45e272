SHELL := /bin/bash
MODULES := core entry agent platform admin stand tools
PROGRAMS := entry agent admin stand platform
BIN := bin
RUN := run
TOOLS ?= $(HOME)/.cache/currantport/bin
WEIGHTS ?=
LINT_VERSION := v2.15.0

.PHONY: all build demo test race crowd bench fleet samples docs generate lint soak soak-kept format vet tools tidy

all: build

build:
	@mkdir -p $(BIN)
	@for p in $(PROGRAMS); do go build -o $(BIN)/$$p ./$$p || exit 1; done

demo: build
	@scripts/demo.sh $(BIN) $(RUN) "$(WEIGHTS)"

test:
	@scripts/test.sh

race:
	@scripts/test.sh -race

# crowd plays clients that don't behave. Its tests measure memory and run apart from others.
crowd:
	@scripts/crowd.sh

bench:
	@scripts/bench.sh

# fleet runs a few hundred real processes. It isn't part of bench.
fleet: build
	@scripts/fleet.sh $(BIN) $(RUN)/fleet

# soak plays one short run of the fault soak, soak-kept the seeds that once failed.
soak: build
	@$(BIN)/stand soak -seed 1 -length 10s -entries 3 -engines 4 -callers 12 -dir $(RUN)/soak

soak-kept: build
	@scripts/soak-kept $(BIN)

# generate regenerates the code of core/wire. It needs buf, protoc-gen-go and
# protoc-gen-connect-go in the folder of the tools.
generate:
	cd core/wire && PATH="$(TOOLS):$$PATH" buf generate

samples: build
	@for p in entry agent stand; do $(BIN)/$$p check -settings $$p/$$p.ini || exit 1; done

docs: build
	@scripts/docs.sh
	@scripts/api.sh $(BIN) $(RUN)

vet:
	go vet work

tools:
	@test -x $(TOOLS)/golangci-lint || GOBIN=$(TOOLS) GOWORK=off go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

lint: tools
	$(TOOLS)/golangci-lint run $(addprefix ./,$(addsuffix /...,$(MODULES)))

format: tools
	$(TOOLS)/golangci-lint fmt --diff $(addprefix ./,$(addsuffix /...,$(MODULES)))

tidy:
	@for m in $(MODULES); do (cd $$m && GOWORK=off go mod tidy) || exit 1; done
