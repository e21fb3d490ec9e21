VENV ?= .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.acaciawing-installed
WORKERS ?= 4

.PHONY: setup lint types unit test demo soak bench format

# SKIP_SETUP=1 uses the environment as it is.
ifndef SKIP_SETUP
setup: $(STAMP)
else
setup:
endif

$(STAMP): requirements.lock
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e . || \
	  $(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(STAMP)

format: setup
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

lint: setup
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .

types: setup
	$(PYTHON) -m mypy

unit: setup
	$(PYTHON) -m pytest -n $(WORKERS)

test: lint types unit

demo: setup
	$(PYTHON) -m demo

soak: setup
	$(PYTHON) -m soak $(if $(SEEDS),--seeds $(SEEDS)) $(if $(MOVES),--moves-queue) \
	  $(if $(PARTS),--parts-store)

bench: setup
	$(PYTHON) -m bench $(if $(WRITE),--write) $(SECTIONS)
