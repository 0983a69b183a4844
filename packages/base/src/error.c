#include "galenagw/base/error.h"

#include <stdarg.h>
#include <stdio.h>

const char *const GwErrorKind_Names[GW_ERROR_KINDS] = {
    "none", "usage",    "config",      "conflict",
    "io",   "protocol", "unavailable", "limit",
};

bool
GwError_Set(GwError *err, GwErrorKind kind, const char *format, ...)
{
    if (err != NULL) {
        va_list args;

        err->kind = kind;
        va_start(args, format);
        vsnprintf(err->message, sizeof(err->message), format, args);
        va_end(args);
    }
    return false;
}
