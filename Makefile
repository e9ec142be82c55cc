PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: run test lint generate build measure policies soak clean

$(VENV)/ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

run: $(VENV)/ready
	$(BIN)/python -m tests.standins.demo

test: $(VENV)/ready
	$(BIN)/python -m pytest --numprocesses 6 --dist loadfile

lint: $(VENV)/ready
	$(BIN)/ruff format --check src tests platform scripts
	$(BIN)/ruff check src tests platform scripts
	PATH="$(CURDIR)/$(BIN):$$PATH" scripts/check-generated.sh

generate: $(VENV)/ready
	PATH="$(CURDIR)/$(BIN):$$PATH" scripts/generate.sh

build: $(VENV)/ready
	mkdir -p dist
	$(BIN)/shiv --quiet --reproducible --no-deps --output-file dist/foxtaildrum \
	  --console-script foxtaildrum --python '/usr/bin/env python3' \
	  --requirement requirements.runtime.lock .

measure: $(VENV)/ready
	$(BIN)/python -m tests.standins.slopes
	$(BIN)/python -m tests.standins.experiment path --duration-s 6
	$(BIN)/python -m tests.standins.experiment orders --duration-s 6
	$(BIN)/python -m tests.standins.experiment changes --instances 19 --duration-s 12

policies: $(VENV)/ready
	$(BIN)/python -m tests.standins.experiment policies --duration-s 12
	$(BIN)/python -m tests.standins.experiment policies --duration-s 12 --loads 0.7 \
	  --without-exact --policies two_choices,aged_load --faults \
	  "one 10x slower,one fails fast (500),one sheds (503),one reports no load,no load reports"

soak: $(VENV)/ready
	$(BIN)/python -m tests.soak --seeds 1-50 --duration-s 10

clean:
	rm -rf $(VENV) build dist
