"""Tests the measurement of the state folder with small folders."""

import os
import tempfile
import unittest

from cedarwick.lab.folder import measure_churn, measure_start, plot_churn


class FolderTest(unittest.TestCase):
    def test_write_amplification_grows_with_the_fill(self) -> None:
        results = []
        for fill, durable in ((0.05, False), (0.85, False), (0.5, True)):
            with tempfile.TemporaryDirectory() as path:
                results.append(measure_churn(path, 4000, 1000, fill, 600, durable=durable))
        nearly_empty, full, durable_result = results
        self.assertEqual((nearly_empty.amplification, nearly_empty.presses, nearly_empty.refused), (1.0, 0, 0))
        self.assertGreater(full.amplification, 1.2)
        self.assertLessEqual(full.used_share, 1.0)
        self.assertGreaterEqual(full.longest_ms, full.p999_ms)
        self.assertTrue(durable_result.durable)
        with tempfile.TemporaryDirectory() as path:
            plot_churn(results, os.path.join(path, "folder.png"))
            with open(os.path.join(path, "folder.png"), "rb") as file:
                self.assertEqual(file.read(8), b"\x89PNG\r\n\x1a\n")

    def test_a_new_process_reads_all_messages_of_a_folder(self) -> None:
        with tempfile.TemporaryDirectory() as path:
            measure_churn(path, 500, 1000, 0.5, 10)
            self.assertGreater(measure_start(path, 500).seconds, 0)
