# finchshed: demo, tests and checks. Needs Python 3.11, make and a C compiler.
#
#   make demo                      run the Brazos Ridge example as separate processes
#   make demo DEPLOYMENT=manila    run another folder of examples/
#   make platform                  run the path on a stand-in of the users' platform
#   make test                      run the tests
#   make check                     formatter, linter, types, generated code, settings samples
#   make ci                        all that .ci/run does

PYTHON ?= python3.11
DEPLOYMENT ?= brazos
TEST_WORKERS ?= 4
PYTEST_ARGS ?=
TESTS_ALONE := tests/platform/test_crowds.py
LOAD ?= 1.0
SEED ?= 1

KNOWN_RED ?= $(shell sed -n 's/^\([^\#,][^,]*\),.*/\1/p' KNOWN-RED.txt 2>/dev/null)

VENV := .venv
BIN := $(VENV)/bin
INSTALLED := $(VENV)/.installed

.PHONY: demo platform test check format lint types generated samples ci lock clean help

help:
	@sed -n '3,8p' Makefile | sed 's/^# *//'

demo: $(INSTALLED)
	$(BIN)/finchshed fleet demo --deployment=examples/$(DEPLOYMENT) --seed=$(SEED) --load=$(LOAD)

platform: $(INSTALLED)
	$(BIN)/python -m pytest -v tests/platform/test_thin_path.py

# Failures of the tests in KNOWN-RED.txt are shown and don't count; any other one does.
# Tests of what a process takes at the most run one at a time, after the others.
test: $(INSTALLED)
	$(BIN)/python -m pytest -n $(TEST_WORKERS) --dist=loadfile --ignore=$(TESTS_ALONE) \
		$(KNOWN_RED:%=--deselect='%') $(PYTEST_ARGS)
	$(if $(filter tests/%,$(PYTEST_ARGS)),,$(BIN)/python -m pytest $(TESTS_ALONE) \
		$(KNOWN_RED:%=--deselect='%') $(PYTEST_ARGS))
	@for known in $(KNOWN_RED); do \
		echo "== known red, not counted: $$known"; \
		$(BIN)/python -m pytest "$$known" || true; \
	done

check: format lint types generated samples

format: $(INSTALLED)
	$(BIN)/ruff format --check .

lint: $(INSTALLED)
	$(BIN)/ruff check .

types: $(INSTALLED)
	$(BIN)/mypy

generated: $(INSTALLED)
	$(BIN)/python -m finchshed.rpc.generate --check

samples: $(INSTALLED)
	$(BIN)/finchshed config sample --folder=examples/settings --check

ci:
	.ci/run

# A virtual environment of its own, from the pinned list only.
$(INSTALLED): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation --editable .
	touch $(INSTALLED)

lock: $(INSTALLED)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --upgrade --editable '.[proof,dev]'
	( sed -n '1p' requirements.lock; $(BIN)/python -m pip list --format=freeze \
		| grep -v -i -E '^(pip|finchshed)==' | sort -f ) > requirements.lock.new
	mv requirements.lock.new requirements.lock

clean:
	rm -rf $(VENV) build run results .pytest_cache .mypy_cache .ruff_cache .hypothesis
