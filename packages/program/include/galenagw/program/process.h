/**
 * @defgroup process Process
 * @brief Runs a program on the users' platform, from its arguments to its
 * exit.
 *
 * Contains what gateway and sidecar have in common: options, settings file,
 * event log, loop and signals. GwProcessOps contains what differs.
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

/** The functions and properties of one program. */
typedef struct {
    const char *doc;        /**< description for --help */
    bool limits_open_files; /**< apply the platform's limit of open files */
    /** Start the service and set @p process->service. */
    bool (*start)(GwProcess *process, GwError *err);
    /** Add fields to the "start" event, such as ports; or NULL. */
    void (*add_start_fields)(const GwProcess *process);
    /** Handle SIGTERM and SIGINT: drain if necessary, then stop the loop. */
    void (*terminate)(GwProcess *process);
    /** Handle SIGHUP: reload the settings that may change. */
    void (*hangup)(GwProcess *process);
    /** Free @p process->service, after the loop has stopped. */
    void (*delete_)(GwProcess *process);
} GwProcessOps;

/** A running program. */
struct GwProcess {
    const GwProcessOps *ops;
    const char *settings; /**< path of the settings file */
    const char *log_level;
    int64_t log_lines_per_s; /**< maximum event lines per second; 0: 300 */
    GwDeployment deployment;
    GwEventLog *log;
    GwLoop *loop;
    void *service; /**< object created by ops->start */
};

/**
 * Parse arguments and settings, start the program and run until its loop is
 * stopped.
 * @return false with @p err if it could not start
 */
bool GwProcess_Run(const GwProcessOps *ops, int argc, char **argv,
                   GwError *err);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
