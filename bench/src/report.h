/* What a bench run prints: one table, and the same as a JSON file. */
#ifndef GALENAGW_BENCH_REPORT_H
#define GALENAGW_BENCH_REPORT_H

#include <stdbool.h>

/* Begin a section of the table. */
void Report_Section(const char *title);
/* One figure. */
void Report_Value(const char *name, double value, const char *unit);
void Report_Text(const char *name, const char *text);
/* One figure with the bound it must keep; counts what was missed. */
void Report_Bound(const char *name, double value, bool at_least, double bound);
/* Write bench/out/NAME.json. Returns how many bounds were missed. */
int Report_End(const char *name);

#endif
