programs := mw-entry mw-keeper mw-standin mw-load mastwinch

.PHONY: build demo test

build:
	@mkdir -p bin
	go build -o bin/ $(addprefix ./cmd/,$(programs))

demo: build
	@scripts/demo.sh

test:
	go test -race ./...
