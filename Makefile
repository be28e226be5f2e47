# Each target builds its own environment in .venv and needs nothing else
# but Python 3.11, pip and the registries.

PYTHON ?= python3.11
VENV := .venv
LIBS := model wire settings store quorum fleet accounts moves requests language \
	daemon cli emulator
BIN := $(VENV)/bin
NAME ?= requests

.PHONY: demo test lint format bench plots capacity soak clean

$(VENV)/ready: constraints.txt requirements-dev.txt requirements-bench.txt \
		$(LIBS:%=libs/%/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt setuptools wheel
	$(BIN)/pip install -q -c constraints.txt --no-build-isolation \
		$(LIBS:%=-e libs/%) -e platform -r requirements-dev.txt -r requirements-bench.txt
	# Daemons would else compile the generated messages at every start.
	$(BIN)/python -m compileall -q libs
	touch $@

demo: $(VENV)/ready
	$(BIN)/python demo/run.py $(if $(KEEP),--keep)

test: $(VENV)/ready
	$(BIN)/python -m pytest

lint: $(VENV)/ready
	$(BIN)/black --check -q .
	$(BIN)/flake8 .
	$(BIN)/lint-imports

format: $(VENV)/ready
	$(BIN)/black -q .

bench: $(VENV)/ready
	$(BIN)/python bench/$(NAME).py $(ARGS)

# ARGS="--seeds 50 --first 200" plays others; see docs/design/soak.md.
soak: $(VENV)/ready
	$(BIN)/python -m soak $(if $(ARGS),$(ARGS),--seeds 5)

plots: $(VENV)/ready
	$(BIN)/python bench/plots.py

# Redoes every figure of docs/CAPACITY.md (about a quarter of an hour).
capacity: $(VENV)/ready
	$(BIN)/python bench/roles.py | tail -1 > docs/data/roles.json
	$(BIN)/python bench/requests.py | tail -1 > docs/data/requests.json
	$(BIN)/python bench/convergence.py | tail -1 > docs/data/convergence.json
	$(BIN)/python bench/plots.py

clean:
	rm -rf $(VENV) .run
