/**
 * @defgroup settings Settings
 * @brief A program's settings, read from flags and environment variables.
 *
 * One table describes each setting; it yields the argp option, the
 * environment variable (`GALENAGW_` and the upper-case name) and the check.
 * A flag goes before its variable.
 * @{
 */
#ifndef GALENAGW_BASE_SETTINGS_H
#define GALENAGW_BASE_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include "galenagw/base/error.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
    GW_SETTING_TEXT = 0, /**< `const char *` */
    GW_SETTING_INT,      /**< `int64_t`, within min and max */
    GW_SETTING_ADDRESS,  /**< `GwAddress`, written IP:PORT */
    GW_SETTING_FLAG,     /**< `int64_t`, 0 or 1, takes no value */
    GW_SETTING_TYPES
} GwSettingType;

extern const char *const GwSettingType_Names[GW_SETTING_TYPES];

/** An IP number and port; text owned by the struct. */
typedef struct {
    char host[64];
    int port;
} GwAddress;

/** Parse `IP:PORT` or `[IP6]:PORT`. */
bool GwAddress_Parse(GwAddress *addr, const char *text, GwError *err);
/** Whether both name the same number and port. */
bool GwAddress_Equal(const GwAddress *a, const GwAddress *b);

/** One row of a settings table; the table ends with a NULL name. */
typedef struct {
    const char *name; /**< Long flag, e.g. "failure-domain". */
    const char *value_name;
    const char *doc;
    GwSettingType type;
    size_t offset; /**< Of the field in the target struct. */
    int64_t min;
    int64_t max;
    bool required;
} GwSetting;

/** What GwSettings_Parse reads, and where it puts the result. */
typedef struct {
    const GwSetting *table;
    const char *program;
    const char *args_doc;
    const char *doc;
    void *target;      /**< Struct with its defaults already set. */
    int max_args;      /**< How many plain arguments are allowed. */
    const char **args; /**< Receives them, max_args long. */
    int n_args;        /**< Filled in. */
} GwSettingsOptions;

/**
 * Read the environment, then the flags. `--help` and `--version` print and
 * end the process, as argp does.
 * @return false with @p err naming the setting, the fault and the remedy.
 */
bool GwSettings_Parse(GwSettingsOptions *options, int argc, char **argv,
                      GwError *err);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
