# The one door to everything that is done with this repository.

GOLANGCI_LINT_VERSION := v2.15.0
STRINGER_VERSION := v0.52.0
GOPLS_VERSION := v0.23.0
BIN := $(CURDIR)/bin
LINTER := $(BIN)/golangci-lint-$(GOLANGCI_LINT_VERSION)
STRINGER := $(BIN)/stringer-$(STRINGER_VERSION)
GOPLS := $(BIN)/gopls-$(GOPLS_VERSION)

.PHONY: all build demo test lint bench soak docs generate format mutants fuzz clean

all: build

build:
	go build -o $(BIN)/ ./cmd/... ./proving/cmd/...

# The main job on separate processes: on the product's own interface, then on the stand-in of the users' platform.
demo: build
	$(BIN)/demo

test:
	go test ./...
	go test -count=1 ./proving/...

lint: $(LINTER)
	$(LINTER) run ./...
	cd proving && $(LINTER) run ./...

bench: build
	$(BIN)/bench

soak: build
	$(BIN)/soak

docs:
	go run ./proving/cmd/docs docs

generate: $(STRINGER)
	PATH="$(BIN)/tools:$$PATH" go generate ./...

format: $(LINTER)
	$(LINTER) fmt ./...
	cd proving && $(LINTER) fmt ./...

$(LINTER):
	GOBIN=$(BIN)/tools GOWORK=off GOFLAGS= go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)
	mv $(BIN)/tools/golangci-lint $@

$(STRINGER):
	GOBIN=$(BIN)/tools GOWORK=off GOFLAGS= go install golang.org/x/tools/cmd/stringer@$(STRINGER_VERSION)
	touch $@

# Renames of identifiers across both modules.
$(GOPLS):
	GOBIN=$(BIN)/tools GOWORK=off GOFLAGS= go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv $(BIN)/tools/gopls $@

clean:
	rm -rf $(BIN)

# Each fuzz target for a while; make test runs their seeds.
FUZZTIME ?= 20s
fuzz:
	for target in ./internal/cell:FuzzDecode ./internal/table:FuzzParse ./internal/settings:FuzzParse \
		./internal/rpc:FuzzReadObject ./internal/gate:FuzzReadCall ./internal/job:FuzzStored \
		./internal/link:FuzzRow ./platform:FuzzReport ./platform:FuzzView ./platform:FuzzPolicy; do \
		go test $${target%%:*} -run xxx -fuzz $${target##*:} -fuzztime $(FUZZTIME) || exit 1; \
	done

# Turns each guard off in a copy; a test must go red.
mutants: build
	$(BIN)/mutants
