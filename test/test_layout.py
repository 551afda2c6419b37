import ast
import unittest

from test.support import ROOT

# Modules without input, output, clock or random source.
PURE_MODULES = frozenset(
    (
        *("array", "bisect", "collections", "csv", "datetime", "decimal", "difflib", "enum"),
        *(
            "functools",
            "hashlib",
            "heapq",
            "ipaddress",
            "itertools",
            "json",
            "math",
            "re",
            "statistics",
            "struct",
        ),
        *("attrs", "result", "figfold.core"),
    )
)
IMPURE_CALLS = frozenset(("open", "print", "input", "now", "today", "utcnow"))


class CoreTest(unittest.TestCase):
    def test_the_core_has_no_input_output_clock_or_random_source(self):
        for path in sorted((ROOT / "figfold/core").rglob("*.py")):
            with self.subTest(path.name):
                nodes = list(ast.walk(ast.parse(path.read_text(encoding="utf-8"))))
                self.assertEqual(set(), {name for node in nodes for name in impure_names(node)})


def impure_names(node):
    if isinstance(node, ast.Import):
        return {alias.name for alias in node.names} - PURE_MODULES
    if isinstance(node, ast.ImportFrom):
        module = node.module or ""
        is_pure = node.level == 0 and (module in PURE_MODULES or module.startswith("figfold.core."))
        return set() if is_pure else {module}
    if isinstance(node, ast.Call):
        name = getattr(node.func, "id", getattr(node.func, "attr", ""))
        return {name} & IMPURE_CALLS
    return set()


if __name__ == "__main__":
    unittest.main()
