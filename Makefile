# Every target installs what it needs into VENV and works from a clean clone.
VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
export PYTHONPATH := src
ONLY ?=
JOBS ?= 4
SEED ?= 1
N ?= 2000

.PHONY: demo test lint types unit soak bench capacity dist fuzz format clean

$(STAMP): requirements.lock pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check --requirement requirements.lock 2>$(VENV)/pip.log || (cat $(VENV)/pip.log >&2; exit 1)
	touch $(STAMP)

demo: $(STAMP)
	$(PY) -m amaranthtray demo

test: lint types unit

lint: $(STAMP)
	$(PY) -m ruff format --check src tests
	$(PY) -m ruff check src tests

types: $(STAMP)
	$(PY) -m mypy

unit: $(STAMP)
	$(PY) -m pytest -n $(JOBS) --dist worksteal --ignore tests/hostile
	$(PY) -m pytest tests/hostile

soak: N = 50
soak: $(STAMP)
	PYTHONPATH=src:tests $(PY) -m soak --seed $(SEED) --runs $(N) --jobs $(JOBS)

format: $(STAMP)
	$(PY) -m ruff format src tests
	$(PY) -m ruff check --fix src tests

bench: $(STAMP)
	tools/bench $(PY) "$(ONLY)"

capacity: $(STAMP)
	$(PY) -m amaranthtray.capacity --write docs/CAPACITY.md

fuzz: $(STAMP)
	FUZZ_EXAMPLES=$(N) $(PY) -m pytest --hypothesis-profile=fuzz --hypothesis-seed=$(SEED) -k machine

dist: $(STAMP)
	$(PY) -m amaranthtray.packaging dist/amaranthtray

clean:
	rm -rf dist .pytest_cache .mypy_cache .ruff_cache .hypothesis
