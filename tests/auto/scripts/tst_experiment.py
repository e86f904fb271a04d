"""Tests of scripts/experiment, with a program that stands in for the bench."""

import contextlib
import importlib.machinery
import importlib.util
import io
import json
import os
import pathlib
import sys
import tempfile
import unittest

SOURCE_DIR = pathlib.Path(os.environ["RAGWORTREACH_SOURCE_DIR"])

SITE_TEXT = """\
services = [ { name = "lm", servers = [{ zone = "a", count = 3 }, { zone = "b", count = 2 }], slots = 8, llm = { batch = 8, step_ms = 0.7, kv_tokens = 40000 } } ]
machines = [ { class = "front", count = 4 } ]
models = [ { name = "m0", warm_s = 0.9 } ]
"""

# Writes a report whose worth is the seed / 100, plus 0.1 for the clone called "new".
BENCH_TEXT = f"""\
#!{sys.executable}
import json, pathlib, sys
arguments = sys.argv
if arguments[1] == "run":
    seed = int(arguments[arguments.index("--seed") + 1]) if "--seed" in arguments else 0
    worth = seed / 100 + (0.1 if pathlib.Path.cwd().name == "new" else 0)
    report = {{"G": worth, "served": 1, "breaks": {{}}, "parts": [["nines", 0.3, 1]], "prices": [["new connections to servers", 7, 0.01]],
              "services": [{{"arrivals": 10, "not_run": 1}}], "classes": [], "all": {{"late": 2, "failed": 1}}, "windows": []}}
    pathlib.Path(arguments[arguments.index("--report") + 1]).write_text(json.dumps(report))
    with open("plays", "a") as plays:
        plays.write("x")
"""


def load_experiment():
    loader = importlib.machinery.SourceFileLoader("experiment", str(SOURCE_DIR / "scripts" / "experiment"))
    module = importlib.util.module_from_spec(importlib.util.spec_from_loader("experiment", loader))
    loader.exec_module(module)
    return module


sys.dont_write_bytecode = True
experiment = load_experiment()


class ExperimentTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.bench = self.folder / "bench"
        self.bench.write_text(BENCH_TEXT)
        self.bench.chmod(0o755)
        self.site = self.folder / "site.toml"
        self.site.write_text(SITE_TEXT)
        (self.folder / "site.days").write_text('[[day]]\nname = "calm"\n')
        for name in ("old", "new"):
            (self.folder / name / "deploy").mkdir(parents=True)
            (self.folder / name / "deploy" / "system.toml").touch()

    def run_tool(self, *arguments):
        """Exit code, output and errors of the tool."""
        output, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            code = experiment.main([str(argument) for argument in arguments])
        return code, output.getvalue(), errors.getvalue()

    def play(self, **changes):
        options = {"bench": self.bench, "out": self.folder / "out", "day": f"{self.site}:calm", "seeds": "10,20,30"}
        options.update(changes)
        arguments = ["play", "--build", f"old={self.folder / 'old'}", "--build", f"new={self.folder / 'new'}"]
        for name, value in options.items():
            arguments += [f"--{name}", value]
        return self.run_tool(*arguments)

    def test_compares_paired_plays(self):
        self.assertEqual(self.play()[0], 0)
        rows_file, chart = self.folder / "rows.json", self.folder / "chart.svg"
        code, table, _ = self.run_tool("table", "--out", self.folder / "out", "--base", "old", "--json", rows_file, "--svg", chart)
        self.assertEqual(code, 0)
        self.assertIn("| site | calm | new | 3 | 0.300 | 0.200 | 0.200 | +0.100 ± 0.000 |", table)
        rows = json.loads(rows_file.read_text())
        self.assertEqual({row["build"] for row in rows}, {"old", "new"})
        self.assertIn("<svg", chart.read_text())

    def test_resumes_without_repeating_plays(self):
        self.play(seeds="10")
        self.play()
        self.assertEqual((self.folder / "old" / "plays").read_text(), "xxx")

    def test_refuses_wrong_arguments_with_a_remedy(self):
        cases = [
            ({"bench": self.folder / "none"}, "no such program"),
            ({"day": f"{self.folder / 'none.toml'}:calm"}, "existing site file"),
            ({"day": f"{self.site}:unknown"}, "the site has the days calm"),
        ]
        for changes, message in cases:
            with self.subTest(message):
                code, _, errors = self.play(**changes)
                self.assertEqual(code, 2)
                self.assertIn(message, errors)
        code, _, errors = self.run_tool("table", "--out", self.folder / "nothing", "--base", "old")
        self.assertEqual((code, "run 'experiment play' first" in errors), (2, True))
        self.play()
        code, _, errors = self.run_tool("table", "--out", self.folder / "out", "--base", "other")
        self.assertEqual((code, "name one of the builds that were played, new, old" in errors), (2, True))

    def test_varies_only_the_named_figure(self):
        cases = [
            ("replicas=0.5", ["count = 2 }, { zone", "count = 1 }]", '"front", count = 4']),
            ("memory=0.25", ["kv_tokens = 10000", "batch = 8"]),
            ("loads=3", ["warm_s = 2.7"]),
        ]
        for change, expected in cases:
            with self.subTest(change):
                target = self.folder / "varied" / "site.toml"
                self.assertEqual(self.run_tool("vary", self.site, "--to", target, change)[0], 0)
                for text in expected:
                    self.assertIn(text, target.read_text())

    def test_refuses_variations_that_change_nothing_or_land_in_the_repository(self):
        cases = [
            ([self.folder / "x.toml", "speed=2"], "take one of"),
            ([self.folder / "x.toml", "work=2"], "no such figure"),
            ([self.folder / "x.toml", "loads=fast"], "expected KEY=FACTOR"),
            ([SOURCE_DIR / "x.toml", "loads=2"], "outside the repository"),
        ]
        for (target, change), message in cases:
            with self.subTest(message):
                code, _, errors = self.run_tool("vary", self.site, "--to", target, change)
                self.assertEqual((code, message in errors), (2, True), errors)
                self.assertFalse(pathlib.Path(target).exists())

    def test_confidence_interval_is_that_of_students_t(self):
        self.assertAlmostEqual(experiment.confidence_interval([0.1, 0.2, 0.3, 0.4, 0.5]), 2.776 * 0.158114 / 5 ** 0.5, places=5)


if __name__ == "__main__":
    unittest.main()
