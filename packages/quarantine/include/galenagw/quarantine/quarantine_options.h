/**
 * Constants and options of a quarantine.
 * @ingroup quarantine
 */
#ifndef GALENAGW_QUARANTINE_QUARANTINE_OPTIONS_H
#define GALENAGW_QUARANTINE_QUARANTINE_OPTIONS_H

#include "galenagw/base/clock.h"
#include "galenagw/quarantine/digest.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Terminations after which a request is put under quarantine. */
#define GW_QUARANTINE_TERMINATIONS 3
/** Quarantine term after the third termination; each further termination
 * doubles it, up to GW_QUARANTINE_TERM_MAX. Simultaneous terminations of most
 * of a failure domain count as one here, even if the request is taken to be
 * their cause. After the term, about one process
 * of the fleet at a time may retry the request: one that was suspected wrongly
 * is served again, any other terminates one more endpoint. */
#define GW_QUARANTINE_TERM_MIN (60 * GW_SECOND)
#define GW_QUARANTINE_TERM_MAX (960 * GW_SECOND)
/** A request is removed this long after its last update. */
#define GW_QUARANTINE_RETENTION (1800 * GW_SECOND)

typedef struct GwQuarantine GwQuarantine;

/** Construction options. */
typedef struct {
    /** A request was put under quarantine or released; or NULL. */
    void (*on_changed)(void *user, const GwDigest *request,
                       unsigned terminations, bool quarantined);
    void *user;
    /** Name of this process, for the random selection of retries. NULL: other
     * processes select what is retried, and this one admits all requests once
     * the term is over. */
    const char *name;
} GwQuarantineOptions;

#ifdef __cplusplus
}
#endif
#endif
