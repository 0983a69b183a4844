/**
 * @defgroup process Process
 * @brief A program on the users' platform, from its arguments to its end.
 *
 * What gateway and sidecar have alike: options, settings file, event log, loop
 * and signals. What differs stands in a GwProcessOps.
 * @{
 */
#ifndef GALENAGW_PROGRAM_PROCESS_H
#define GALENAGW_PROGRAM_PROCESS_H

#include "galenagw/adapter/deployment.h"
#include "galenagw/base/event_log.h"
#include "galenagw/net/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwProcess GwProcess;

/** One program. */
typedef struct {
    const char *doc;   /**< for --help */
    bool bounds_files; /**< it keeps to the platform's limit of open files */
    /** Begin to serve; sets the process's @p served. */
    bool (*start)(GwProcess *process, GwError *err);
    /** Add to the event that tells of the start; or NULL. */
    void (*tell)(const GwProcess *process);
    /** SIGTERM and SIGINT. */
    void (*terminate)(GwProcess *process);
    /** SIGHUP. */
    void (*hangup)(GwProcess *process);
    void (*delete_)(GwProcess *process);
} GwProcessOps;

/** A program that runs. */
struct GwProcess {
    const GwProcessOps *ops;
    const char *settings; /**< path of the settings file */
    const char *log_level;
    int64_t log_lines; /**< most event lines a second; 0: 300 */
    GwDeployment deployment;
    GwEventLog *log;
    GwLoop *loop;
    void *served; /**< the program's own */
};

/** Run until the loop is stopped. @return false with @p err. */
bool GwProcess_Run(const GwProcessOps *ops, int argc, char **argv,
                   GwError *err);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
