# Everyday tasks. The deploy build stands in deploy/balancer.toml; `make build` runs the same.
.PHONY: build test lint run ci faults soak floods large states

build:
	mkdir -p bin && CGO_ENABLED=1 CGO_LDFLAGS=-Wl,-Ttext-segment=0x410000 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...

# CONFIG is the platform's configuration file; ARGS are further flags, such as -ratelimit deploy/ratelimit.json.
run: build
	bin/bramblefall -config "$(CONFIG)" $(ARGS)

ci:
	.ci/run

# The long form of the fault tests: 100,000 connections that play a script, other ones with SEED=N.
SEED ?= 1
faults:
	BRAMBLEFALL_SCRIPTS=100000 BRAMBLEFALL_SEED=$(SEED) go test ./cmd/bramblefall -run NoFault -count 1 -v -timeout 30m

# The long form of the soak: lives of a limiter up to the kill, other ones with SEED=N.
LIVES ?= 60
soak:
	BRAMBLEFALL_SOAK=$(LIVES) BRAMBLEFALL_SEED=$(SEED) go test ./cmd/bramblefall -run Soak -count 1 -v -timeout 30m

# The long form of the flood test: every flood at every memory limit, on a full core and a tenth of one.
floods:
	BRAMBLEFALL_FLOODS=all BRAMBLEFALL_SEED=$(SEED) go test ./cmd/bramblefall -run Floods -count 1 -v -timeout 40m

# The long form of the test of large commands: runs whose memory, clients and sizes are drawn, other ones with SEED=N.
RUNS ?= 50
large:
	BRAMBLEFALL_LARGE=$(RUNS) BRAMBLEFALL_SEED=$(SEED) go test ./cmd/bramblefall -run LargeCommands -count 1 -v -timeout 40m

# The long form of the model of leases: three limiters through two terms.
states:
	BRAMBLEFALL_STATES=1 go test ./internal/lease -run StateSpace -count 1 -v

# Generated code of the admin service; needs protoc, protoc-gen-go and protoc-gen-go-grpc.
.PHONY: generate
generate:
	cd internal/admin/adminpb && protoc --go_out=. --go_opt=paths=source_relative \
		--go-grpc_out=. --go-grpc_opt=paths=source_relative admin.proto

# The language server that renames identifiers: gopls rename -w FILE.go:LINE:COLUMN NEWNAME. TOOLS is where it goes.
GOPLS = golang.org/x/tools/gopls@v0.22.0
TOOLS ?= $(CURDIR)/bin
.PHONY: tools
tools:
	GOBIN=$(TOOLS) go install $(GOPLS)
