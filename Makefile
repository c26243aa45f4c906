GO ?= go
SEED ?= 1
DURATION ?= 30s

.PHONY: all build demo test soak platform-soak bench lint generate

all: build

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	bin/egretramp-demo

test:
	.ci/test

soak: build
	bin/egretramp-soak --seed $(SEED) --duration $(DURATION)

platform-soak: build
	bin/egretramp-platform-soak --seed $(SEED) --duration $(DURATION)

bench: build
	bin/egretramp-bench

lint:
	@unformatted=$$(gofmt -l cmd internal platform); \
	if [ -n "$$unformatted" ]; then echo "gofmt would change: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Needs buf, protoc-gen-go and protoc-gen-go-drpc on the PATH; the output is committed.
generate:
	buf generate
