"""Checks import directions, sizes and docstrings in the syntax trees of the source."""

from __future__ import annotations

import ast
from collections import Counter
from dataclasses import dataclass
from functools import cached_property
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = Path(__file__).parents[2]
SOURCE = ROOT / "src" / "amaranthtray"
TESTS = ROOT / "tests"

MAX_MODULE_LINES = 400
MAX_FUNCTION_LINES = 40
MAX_TEST_SHARE = 1 / 3

OUTER_PACKAGES = (
    "platform",
    "store",
    "jobs",
    "peers",
    "entry",
    "backend",
    "settings",
    "cli",
    "standins",
)
TYPE_CHECKING_TEST = "TYPE_CHECKING"
IMPURE_MODULES = (
    "threading",
    "socket",
    "time",
    "datetime",
    "random",
    "secrets",
    "uuid",
    "os",
    "asyncio",
    "http",
    "subprocess",
    "multiprocessing",
    "urllib.request",
    "urllib3",
    "cherrypy",
    "cheroot",
    "websockets",
    "statsd",
    "logbook",
)
IMPURE_EXCEPTIONS = {"domain.keys.minting imports secrets"}
"""Generates the random part of keys; only the command line and the entry call it."""

PROCESS_MODULES = ("subprocess", "multiprocessing", "concurrent.futures.process", "pty")
SPAWNING_CALLS = frozenset({"fork", "forkpty", "system", "popen", "posix_spawn"})


@dataclass(frozen=True)
class Module:
    """A source file with its text and syntax tree."""

    path: Path

    @property
    def name(self) -> str:
        parts = self.path.relative_to(SOURCE).with_suffix("").parts
        return ".".join(part for part in parts if part != "__init__")

    @cached_property
    def text(self) -> str:
        return self.path.read_text(encoding="utf-8")

    @cached_property
    def tree(self) -> ast.Module:
        return ast.parse(self.text, self.path.name)

    def imports(self, *, only_runtime: bool = False) -> Iterator[tuple[int, str]]:
        """Yields line and full name of each import.

        Args:
            only_runtime: Whether to omit imports that only type checkers execute.
        """
        for node in _walk(self.tree, only_runtime=only_runtime):
            if isinstance(node, ast.Import):
                yield from ((node.lineno, alias.name) for alias in node.names)
            elif isinstance(node, ast.ImportFrom):
                base = self._base(node)
                for alias in node.names:
                    yield node.lineno, f"{base}.{alias.name}".strip(".")

    def functions(self) -> Iterator[ast.FunctionDef | ast.AsyncFunctionDef]:
        for node in ast.walk(self.tree):
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                yield node

    def _base(self, node: ast.ImportFrom) -> str:
        """Returns the absolute name of the module after ``from``."""
        if not node.level:
            return node.module or ""
        package = ["amaranthtray", *self.path.relative_to(SOURCE).parent.parts]
        parents = package[: len(package) - node.level + 1]
        return ".".join([*parents, *filter(None, [node.module])])


def _walk(tree: ast.AST, *, only_runtime: bool) -> Iterator[ast.AST]:
    """Yields all nodes; ``only_runtime`` omits ``if TYPE_CHECKING`` statements."""
    yield tree
    for node in ast.iter_child_nodes(tree):
        is_guard = (
            isinstance(node, ast.If) and ast.unparse(node.test) == TYPE_CHECKING_TEST
        )
        if not (only_runtime and is_guard):
            yield from _walk(node, only_runtime=only_runtime)


MODULES = [Module(path) for path in sorted(SOURCE.rglob("*.py"))]


def is_within(name: str, packages: tuple[str, ...]) -> bool:
    """Returns whether ``name`` is one of the packages or inside one."""
    return any(f"{name}.".startswith(f"{package}.") for package in packages)


def is_in_domain(module: Module) -> bool:
    return is_within(module.name, ("domain",))


def assert_no_violations(violations: list[str]) -> None:
    assert not violations, "\n" + "\n".join(violations)


def test_the_domain_imports_no_outer_package() -> None:
    outer_packages = tuple(f"amaranthtray.{name}" for name in OUTER_PACKAGES)
    assert_no_violations(
        [
            f"{module.name}:{line} imports {name}"
            for module in MODULES
            if is_in_domain(module)
            for line, name in module.imports()
            if is_within(name, outer_packages)
        ]
    )


def test_the_domain_has_no_clock_random_source_thread_or_socket() -> None:
    found = {
        f"{module.name} imports {name}"
        for module in MODULES
        if is_in_domain(module)
        for _, name in module.imports(only_runtime=True)
        if is_within(name, IMPURE_MODULES)
    }
    assert_no_violations(sorted(found - IMPURE_EXCEPTIONS))
    assert found >= IMPURE_EXCEPTIONS, "an exception is no longer needed"


@pytest.mark.parametrize(
    ("package", "forbidden"),
    [
        (
            "reports",
            ("platform", "store", "peers", "entry", "backend", "cli", "standins"),
        ),
        (
            "settings",
            ("platform", "store", "peers", "entry", "backend", "cli", "standins"),
        ),
        ("store", ("platform", "entry", "backend", "cli", "standins")),
        ("peers", ("platform", "store", "entry", "backend", "cli", "standins")),
        ("backend", ("platform", "store", "entry", "cli", "standins")),
        ("entry", ("cli", "standins")),
    ],
)
def test_packages_import_only_lower_layers(
    package: str, forbidden: tuple[str, ...]
) -> None:
    names = tuple(f"amaranthtray.{name}" for name in forbidden)
    assert_no_violations(
        [
            f"{module.name}:{line} imports {name}"
            for module in MODULES
            if is_within(module.name, (package,))
            for line, name in module.imports()
            if is_within(name, names)
        ]
    )


def test_nothing_starts_a_process() -> None:
    violations = [
        f"{module.name}:{line} imports {name}"
        for module in MODULES
        if module.name != "packaging"
        for line, name in module.imports()
        if is_within(name, PROCESS_MODULES)
    ]
    violations += [
        f"{module.name}:{node.lineno} uses os.{node.attr}"
        for module in MODULES
        for node in ast.walk(module.tree)
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and node.value.id == "os"
        and (node.attr in SPAWNING_CALLS or node.attr.startswith(("exec", "spawn")))
    ]
    assert_no_violations(violations)


def test_modules_are_small() -> None:
    lines = {module.name: len(module.text.splitlines()) for module in MODULES}
    assert_no_violations(
        [f"{name}: {n} lines" for name, n in lines.items() if n > MAX_MODULE_LINES]
    )


def test_functions_are_small() -> None:
    violations = []
    for module in MODULES:
        for node in module.functions():
            lines = (node.end_lineno or node.lineno) - node.lineno + 1
            if lines > MAX_FUNCTION_LINES:
                violations.append(f"{module.name}.{node.name}: {lines} lines")
    assert_no_violations(violations)


def test_modules_and_public_items_have_docstrings() -> None:
    violations = []
    for module in MODULES:
        if not ast.get_docstring(module.tree):
            violations.append(f"{module.name}: no docstring")
        violations += [
            f"{module.name}.{name}: no docstring"
            for name, node in public_items(module.tree, "")
            if not ast.get_docstring(node)
        ]
    assert_no_violations(violations)


def public_items(
    tree: ast.Module | ast.ClassDef, prefix: str
) -> Iterator[tuple[str, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef]]:
    """Yields public classes, functions and methods with their names."""
    for node in tree.body:
        if not isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
            continue
        if node.name.startswith("_"):
            continue
        yield f"{prefix}{node.name}", node
        if isinstance(node, ast.ClassDef):
            yield from public_items(node, f"{prefix}{node.name}.")


def test_tests_are_under_a_third_of_all_code() -> None:
    code = sum(code_lines(module.text) for module in MODULES)
    tests = sum(code_lines(path.read_text()) for path in TESTS.rglob("*.py"))
    share = tests / (code + tests)
    assert share < MAX_TEST_SHARE, f"{tests} of {code + tests} lines: {share:.1%}"


def code_lines(text: str) -> int:
    """Returns the number of lines that are not blank."""
    return sum(bool(line.strip()) for line in text.splitlines())


def test_no_function_is_duplicated() -> None:
    """Compares bodies of at least six statements, ignoring names and docstrings."""
    seen: Counter[str] = Counter()
    places: dict[str, list[str]] = {}
    for module in MODULES:
        for node in module.functions():
            if sum(isinstance(item, ast.stmt) for item in ast.walk(node)) <= 6:
                continue
            body = node.body[1:] if ast.get_docstring(node) else node.body
            key = "\n".join(ast.dump(statement) for statement in body)
            seen[key] += 1
            places.setdefault(key, []).append(f"{module.name}.{node.name}")
    assert_no_violations(
        [" = ".join(places[key]) for key, count in seen.items() if count > 1]
    )
