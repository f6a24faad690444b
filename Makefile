# Targets for people: "make demo" and "make test" do all set-up themselves.

.PHONY: build demo test clean

build:
	mkdir -p bin
	go build -o bin/ ./cmd/flamingobeam ./cmd/flamingobeamd

demo: build
	bash scripts/demo.sh

test:
	bash scripts/test.sh

clean:
	rm -rf bin out
