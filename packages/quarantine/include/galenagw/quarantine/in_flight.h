/**
 * @defgroup in_flight Requests in flight
 * @brief By what the quarantine recognizes requests, and those that were in
 * flight when an endpoint terminated.
 * @{
 */
#ifndef GALENAGW_QUARANTINE_IN_FLIGHT_H
#define GALENAGW_QUARANTINE_IN_FLIGHT_H

#include "galenagw/base/clock.h"
#include "galenagw/quarantine/digest.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Most parts of a prompt that are recognized; later ones are ignored. */
#define GW_IDENTITY_PARTS_MAX 15
/** Most requests that are recorded for one termination; an endpoint runs fewer
 * at once. */
#define GW_TERMINATION_REQUESTS_MAX 256
/** Most parts that are recorded for one termination. */
#define GW_TERMINATION_PARTS_MAX 256

/** By what a request is recognized when it, or a prompt with the same parts,
 * is sent again. */
typedef struct {
    GwDigest request;
    /** Parts of its prompt that others may share; not its last part. */
    GwDigest parts[GW_IDENTITY_PARTS_MAX];
    unsigned n_parts;
} GwRequestIdentity;

/** A part of a prompt that was in flight. */
typedef struct {
    GwDigest digest;
    GwTime completed_at; /**< last known completion of a prompt with it; 0:
                              none is known */
} GwPartInFlight;

/** What was in flight at a termination; each request and part once. */
typedef struct {
    GwDigest requests[GW_TERMINATION_REQUESTS_MAX];
    size_t n_requests;
    GwPartInFlight parts[GW_TERMINATION_PARTS_MAX];
    size_t n_parts;
} GwInFlight;

/** Adds a request and its parts, as far as there is room. */
void GwInFlight_Add(GwInFlight *in_flight, const GwRequestIdentity *request);
/** The same for an array of GwRequestIdentity. */
void GwInFlight_AddAll(GwInFlight *in_flight, const GArray *requests);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
