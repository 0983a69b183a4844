/**
 * @defgroup settings Settings
 * @brief Settings of a program, read from flags and environment variables.
 *
 * A table has one row for each setting, from which the argp option, the
 * environment variable (`GALENAGW_` and the name in upper case, with `_` for
 * `-`) and the check of the value are derived. A flag overrides its variable.
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

/** Type of a setting, and of the field that receives its value. */
typedef enum {
    GW_SETTING_TEXT = 0, /**< `const char *` */
    GW_SETTING_INT,      /**< `int64_t`, from min to max */
    GW_SETTING_ADDRESS,  /**< `GwAddress`, written IP:PORT */
    GW_SETTING_FLAG,     /**< `int64_t`, 0 or 1, takes no value */
    GW_SETTING_TYPES
} GwSettingType;

/** Names of ::GwSettingType, by value. */
extern const char *const GwSettingType_Names[GW_SETTING_TYPES];

/** An IP address and a port. */
typedef struct {
    char host[64]; /**< IPv4 or IPv6 address in text form */
    int port;      /**< 0 to 65535 */
} GwAddress;

/**
 * Parse `IP:PORT` or `[IP6]:PORT`. Host names are not resolved.
 * @return false, with @p err set, if @p text has another form
 */
bool GwAddress_Parse(GwAddress *addr, const char *text, GwError *err);
/** Whether the texts of the IP addresses and the ports are equal. */
bool GwAddress_Equal(const GwAddress *a, const GwAddress *b);

/** Row of a settings table; a row with a NULL name ends the table. */
typedef struct {
    const char *name;       /**< Long flag, such as "failure-domain". */
    const char *value_name; /**< Of the argument, for --help. */
    const char *doc;        /**< Text for --help. */
    GwSettingType type;
    size_t offset; /**< Of the field in the target struct. */
    int64_t min;   /**< Smallest value of a GW_SETTING_INT. */
    int64_t max;   /**< Largest value of a GW_SETTING_INT. */
    bool required; /**< Flag or variable must be given. */
} GwSetting;

/** Input and output of GwSettings_Parse. */
typedef struct {
    const GwSetting *table;
    const char *program;  /**< Name of the program. */
    const char *args_doc; /**< Positional arguments, for --help. */
    const char *doc;      /**< What the program does, for --help. */
    void *target; /**< Struct to fill in, with its defaults already set. */
    int max_args; /**< Positional arguments allowed. */
    const char **args; /**< Receives them; has space for max_args. */
    int n_args;        /**< Number of them, filled in. */
} GwSettingsOptions;

/**
 * Read the environment, then the flags. `--help` and `--version` print and
 * exit the process, as usual for argp.
 * @return false, with @p err set to the setting, the fault and the remedy
 */
bool GwSettings_Parse(GwSettingsOptions *options, int argc, char **argv,
                      GwError *err);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
