PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: run test lint generate build measure policies soak clean venv

# Checks by content whether the environment fits; file times don't tell which Python made it.
venv:
	scripts/build-venv.sh $(PYTHON) $(VENV)

run: venv
	$(BIN)/python -m tests.standins.demo

test: venv
	$(BIN)/python -m pytest --numprocesses 6 --dist loadfile -m "not alone"
	$(BIN)/python -m pytest -m alone

lint: venv
	$(BIN)/ruff format --check src tests platform scripts
	$(BIN)/ruff check src tests platform scripts
	PATH="$(CURDIR)/$(BIN):$$PATH" scripts/check-generated.sh

generate: venv
	PATH="$(CURDIR)/$(BIN):$$PATH" scripts/generate.sh

build: venv
	mkdir -p dist
	$(BIN)/shiv --quiet --reproducible --no-deps --output-file dist/foxtaildrum.new \
	  --console-script foxtaildrum --python '/usr/bin/env python3' \
	  --requirement requirements.runtime.lock .
	mv dist/foxtaildrum.new dist/foxtaildrum

measure: venv
	$(BIN)/python -m tests.standins.slopes
	$(BIN)/python -m tests.standins.experiment path --duration-s 6
	$(BIN)/python -m tests.standins.experiment orders --duration-s 6
	$(BIN)/python -m tests.standins.experiment changes --instances 19 --duration-s 12

policies: venv
	$(BIN)/python -m tests.standins.experiment policies --duration-s 12
	$(BIN)/python -m tests.standins.experiment policies --duration-s 12 --loads 0.7 \
	  --without-exact --policies two_choices,aged_load --faults \
	  "one 10x slower,one fails fast (500),one sheds (503),one reports no load,no load reports"

soak: venv
	$(BIN)/python -m tests.soak --seeds 1-50 --duration-s 10

clean:
	rm -rf $(VENV) $(VENV).lock build dist
