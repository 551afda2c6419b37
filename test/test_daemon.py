import subprocess
import sys
import unittest

from test.support import ROOT

SETTINGS = "examples/carrick-entry.ini"
EXIT_TIMEOUT_S = 10


class WrongCommandLineTest(unittest.TestCase):
    def test_wrong_command_lines_start_no_entry(self):
        cases = [
            ((), 3, "E801"),
            (("--settings",), 3, "E801"),
            (("--settings=",), 3, "E801"),
            (("--settings", SETTINGS, "--bogus", "1"), 3, "E801"),
            (("--settings", SETTINGS, "extra"), 3, "E801"),
            (("--settings", "absent.ini"), 1, "absent.ini: E101"),
            (("--settings", "examples/carrick.ini"), 1, "E106"),
        ]
        for arguments, exit_code, expected_text in cases:
            with self.subTest(arguments):
                child = subprocess.run(
                    [sys.executable, "-m", "figfold.entry.main", *arguments],
                    cwd=ROOT,
                    capture_output=True,
                    text=True,
                    timeout=EXIT_TIMEOUT_S,
                )
                found = (child.returncode, child.stdout, expected_text in child.stderr)
                self.assertEqual((exit_code, "", True), found, child.stderr)
                for line in child.stderr.splitlines():
                    self.assertTrue(line.startswith("figfoldd: "), line)


if __name__ == "__main__":
    unittest.main()
