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
/** A request or a part that completed is taken to be harmless for this long;
 * later, the software of endpoints may have changed. */
#define GW_QUARANTINE_HARMLESS_TIME (300 * GW_SECOND)
/** Most requests that are tracked. If there are more, requests with at most
 * one termination and no stored record are removed first. */
#define GW_QUARANTINE_REQUESTS_MAX 2048
/** The same for parts of prompts. */
#define GW_QUARANTINE_PARTS_MAX 1024

typedef struct GwQuarantine GwQuarantine;

/** What may be the cause of terminations. */
typedef enum {
    GW_SUSPECT_REQUEST = 0, /**< a request, by its content */
    GW_SUSPECT_PART,        /**< a part of prompts */
    GW_SUSPECT_KINDS
} GwSuspectKind;

/** Where a process learned of a suspect's last termination. */
typedef enum {
    GW_QUARANTINE_SOURCE_OWN = 0, /**< its own attempt was in flight */
    GW_QUARANTINE_SOURCE_PEER,    /**< a peer reported it */
    GW_QUARANTINE_SOURCE_STORE,   /**< only a stored record is known */
    GW_QUARANTINE_SOURCES
} GwQuarantineSource;

/** Names for logs. */
extern const char *const GwQuarantineSource_Names[GW_QUARANTINE_SOURCES];

/** A suspect that was put under quarantine or released. */
typedef struct {
    GwSuspectKind kind;
    GwDigest digest;
    unsigned n_terminations;
    bool is_quarantined;
    GwQuarantineSource source;
} GwQuarantineChange;

/** Construction options. */
typedef struct {
    /** A request or part was put under quarantine or released; or NULL. */
    void (*on_changed)(void *user, const GwQuarantineChange *change);
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
