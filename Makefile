# `make demo` and `make test` each set up what they need on a fresh machine.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
HOUSE ?= vallejo
HOUSES ?= vallejo patelvara
EXPERIMENTS ?=
SEED ?= 7
SEEDS ?= 1
SCALE ?= 0.15
TEST_WORKERS ?= 4
PACKAGES := core entry gateway cli testing
SPECS := $(filter-out %/checker.py,$(wildcard packages/core/specs/*.py))

.PHONY: soak emulate setup test lint format demo bench bench-path few-moves model settings-page clean slopes

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt $(PACKAGES:%=packages/%/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --require-hashes -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(PACKAGES:%=-e packages/%)
	touch $@

demo: setup
	$(BIN)/python -m sardinewheel_testing.demo settings/$(HOUSE)

bench: setup
	$(BIN)/python -m sardinewheel_testing.bench --experiments "$(EXPERIMENTS)" --houses "$(HOUSES)" --seed $(SEED) --scale $(SCALE)

bench-path: setup
	$(BIN)/python -m sardinewheel_testing.bench_path

few-moves: setup
	$(BIN)/python -m sardinewheel_testing.few_moves

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: setup lint
	$(BIN)/python -m pytest -n $(TEST_WORKERS) --dist loadgroup -m "not serial"
	$(BIN)/python -m pytest -m serial
	$(BIN)/behave --format progress

settings-page: setup
	$(BIN)/python -m sardinewheel_entry.settings_page docs/SETTINGS.md

model: setup
	set -e; for spec in $(SPECS); do $(BIN)/python $$spec; done

soak: setup
	$(BIN)/python -m tests.platform.soak --seed $(SEED) --seeds $(SEEDS)

emulate: setup
	$(BIN)/python -m sardinewheel_testing.emulator --seed $(SEED) --seeds $(SEEDS) --folder build/emulator

clean:
	rm -rf $(VENV)

slopes: setup
	$(BIN)/python -m sardinewheel_testing.slopes
