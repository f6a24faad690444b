# "make demo" and "make test" need no prior set-up.

.PHONY: build demo failures test clean

build:
	mkdir -p bin
	go build -o bin/ ./cmd/flamingobeam ./cmd/flamingobeamd

demo: build
	bash scripts/demo.sh

# Takes about six minutes. SCENARIOS="store-down store-slow" runs only these.
failures: build
	bash scripts/failures.sh $(SCENARIOS)

test:
	bash scripts/test.sh

clean:
	rm -rf bin out
