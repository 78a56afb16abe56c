"""Reports: pages from templates with charts, for every test bed and tool.

Reading order: `charts` (figures as pictures), `pages` (HTML and Markdown).
"""

from meadowpulley.report.charts import Chart, Line, line_chart, run_charts
from meadowpulley.report.pages import Page, PageTable, Section, write_page, write_run_report

__all__ = [
    "Chart",
    "Line",
    "Page",
    "PageTable",
    "Section",
    "line_chart",
    "run_charts",
    "write_page",
    "write_run_report",
]
