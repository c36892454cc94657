"""Tests of tools/lint: a remembered pass never hides a finding."""

import json
import pathlib
import shutil
import subprocess
import sys
import tempfile
import unittest

LINT = pathlib.Path(sys.argv.pop(1)).resolve()
CONFIG = """Checks: '-*,readability-identifier-naming'
WarningsAsErrors: '*'
HeaderFilterRegex: '.*'
CheckOptions:
  - { key: readability-identifier-naming.FunctionCase, value: lower_case }
"""


class when_passes_are_remembered(unittest.TestCase):
    def setUp(self):
        self.m_folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.m_folder.cleanup)
        self.m_root = pathlib.Path(self.m_folder.name) / "project"
        self.m_root.mkdir()
        self.write(".clang-tidy", CONFIG)
        self.write("shared.h", "#pragma once\ninline int shared_value() { return 1; }\n")
        self.write("first.cpp", '#include <cstddef>\n#include "shared.h"\nint first() { return shared_value(); }\n')
        self.write("second.cpp", '#include "shared.h"\nint second() { return shared_value(); }\n')
        self.configure([])

    def write(self, name, text):
        (self.m_root / name).write_text(text)

    def configure(self, flags):
        commands = [{"directory": str(self.m_root), "file": str(self.m_root / name),
                     "command": " ".join(["g++", *flags, "-c", str(self.m_root / name), "-o", name + ".o"])} for name in ("first.cpp", "second.cpp")]
        self.write("compile_commands.json", json.dumps(commands))

    def lint(self):
        result = subprocess.run([sys.executable, str(LINT), "--root", str(self.m_root), "--build", str(self.m_root), "--cache",
                                 str(self.m_root.parent / "cache"), "first.cpp", "second.cpp"], capture_output=True, text=True)
        return result.returncode, result.stdout

    def expect_read(self, count):
        status, output = self.lint()
        self.assertIn(f"{count} read", output)
        self.assertEqual(status, 0, output)

    def test_unchanged_files_are_read_once(self):
        self.expect_read(2)
        self.expect_read(0)

    def test_a_finding_in_a_header_shows_through_each_file_that_includes_it_on_each_run(self):
        self.expect_read(2)
        self.write("shared.h", "#pragma once\ninline int shared_value() { return 1; }\ninline int OddName() { return 2; }\n")
        for _ in range(2):
            status, output = self.lint()
            self.assertNotEqual(status, 0)
            self.assertIn("2 read", output)
            self.assertIn("2 with findings", output)
            self.assertEqual(output.count("invalid case style for function 'OddName'"), 2)

    def test_a_suppression_that_is_taken_out_is_seen(self):
        self.write("shared.h", "#pragma once\ninline int OddName() { return 2; } // NOLINT\ninline int shared_value() { return 1; }\n")
        self.expect_read(2)
        self.write("shared.h", "#pragma once\ninline int OddName() { return 2; }\ninline int shared_value() { return 1; }\n")
        self.assertNotEqual(self.lint()[0], 0)

    def test_a_changed_configuration_voids_all_passes(self):
        self.expect_read(2)
        self.write(".clang-tidy", CONFIG.replace("FunctionCase, value: lower_case", "FunctionCase, value: CamelCase"))
        status, output = self.lint()
        self.assertNotEqual(status, 0)
        self.assertIn("2 with findings", output)

    def test_a_changed_compile_flag_voids_all_passes(self):
        self.expect_read(2)
        self.configure(["-DUNUSED_FLAG"])
        self.expect_read(2)

    def test_a_damaged_entry_counts_as_none(self):
        self.expect_read(2)
        damage = [b"", b"pass", b"\xff\xfe"]
        for entry, content in zip((self.m_root.parent / "cache").iterdir(), damage):
            entry.write_bytes(content)
        self.expect_read(2)

    def test_a_clone_in_another_folder_uses_the_passes(self):
        self.expect_read(2)
        # System headers sort before this folder and behind the first one.
        with tempfile.TemporaryDirectory(dir="/var/tmp") as folder:
            cache = self.m_root.parent / "cache"
            self.m_root = pathlib.Path(shutil.copytree(self.m_root, pathlib.Path(folder) / "clone"))
            shutil.copytree(cache, self.m_root.parent / "cache")
            self.configure([])
            self.expect_read(0)

    def test_a_file_that_cannot_be_preprocessed_is_read_and_fails(self):
        self.write("first.cpp", '#include "missing.h"\n')
        for _ in range(2):
            status, output = self.lint()
            self.assertNotEqual(status, 0)
            self.assertIn("1 with findings", output)


if __name__ == "__main__":
    unittest.main()
