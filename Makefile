# The two commands of a fresh machine are `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(wildcard packages/*) platform
STAMP := $(VENV)/installed

.PHONY: soak bench-configuration install demo test lint format bench-path bench-policy bench-capacity bench-adaptive

install: $(STAMP)

$(STAMP): requirements.lock $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(addprefix --editable ,$(PACKAGES))
	touch $@

demo: install
	$(BIN)/python -m lagoonrun_standins.demo

test: install
	$(BIN)/python -m pytest -n 4 --dist loadfile

lint: install
	$(BIN)/ruff format --check packages platform tests
	$(BIN)/ruff check packages platform tests

format: install
	$(BIN)/ruff format packages platform tests
	$(BIN)/ruff check --fix packages platform tests

docs: install
	$(BIN)/python -m lagoonrun_standins.reference_pages

bench-path: install
	$(BIN)/python -m lagoonrun_standins.bench_path

bench-policy: install
	$(BIN)/python -m lagoonrun_standins.bench_policy

bench-capacity: install
	$(BIN)/python -m lagoonrun_standins.bench_capacity

bench-adaptive: install
	$(BIN)/python -m lagoonrun_standins.bench_adaptive

# Fifty soaks with seeds from SEED on; logs of broken ones stay in /tmp.
SEED ?= 1
soak: install
	$(BIN)/python -m lagoonrun_soak.main --seed $(SEED) --seeds 50

bench-configuration: install
	$(BIN)/python -m lagoonrun_standins.bench_configuration
