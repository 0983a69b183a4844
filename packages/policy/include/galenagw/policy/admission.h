/**
 * @defgroup admission Admission
 * @brief One endpoint's queue and slots: who runs, who waits, who is told no.
 *
 * The agent is the only gate to its endpoint, so paying-before-trial is
 * decided here, where all of the endpoint's work passes:
 *  - a trial starts only if no paying request waits and the free slots
 *    exceed the paying reserve;
 *  - a trial that has sent nothing gives way to a paying request, in its
 *    slot and in the engine's prefill;
 *  - a trial's estimate counts all paying work as ahead of it, and a paying
 *    request's counts no trial that can still be set aside.
 * Estimates refuse early: a request that cannot meet its deadline is told
 * so at once, with a time to come back.
 * @{
 */
#ifndef GALENAGW_POLICY_ADMISSION_H
#define GALENAGW_POLICY_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "galenagw/base/clock.h"
#include "galenagw/base/reason.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct GwAdmission GwAdmission;
typedef struct GwTicket GwTicket;

/** Where a ticket stands. */
typedef enum {
    GW_TICKET_IDLE = 0, /**< not entered, or left */
    GW_TICKET_RESERVED, /**< an offer is out */
    GW_TICKET_QUEUED,
    GW_TICKET_RUNNING,   /**< at the endpoint, nothing received yet */
    GW_TICKET_STREAMING, /**< first output received */
    GW_TICKET_STATES
} GwTicketState;

extern const char *const GwTicketState_Names[GW_TICKET_STATES];

/** One request's place; embedded by its owner, set to zero first. */
struct GwTicket {
    TAILQ_ENTRY(GwTicket) link;
    bool trial;
    int urgency;
    GwTime deadline; /**< for the first output; GW_NEVER: none */
    GwTime prefill;  /**< estimated, microseconds */
    /* Kept by the module: */
    GwTicketState state;
    GwTime since; /**< time of the last change of state */
    uint64_t order;
};

/** Construction options. */
typedef struct {
    int slots;             /**< requests at the endpoint at once */
    double paying_reserve; /**< share of slots that trials never take */
    int queue_max;
    GwTime reserve_time; /**< how long an offer holds its place */
} GwAdmissionOptions;

GwAdmission *GwAdmission_New(const GwAdmissionOptions *options);
void GwAdmission_Delete(GwAdmission *admission);
/** Take over changed options; running tickets are not touched. */
void GwAdmission_SetOptions(GwAdmission *admission,
                            const GwAdmissionOptions *options);

/** An answer to a probe. */
typedef struct {
    GwRefusal refusal; /**< GW_REFUSAL_NONE: welcome */
    GwTime wait;       /**< estimated, before its prefill begins */
    GwTime retry_after;
} GwEstimate;

/** Estimate for @p ticket, which is not entered. */
GwEstimate GwAdmission_Estimate(const GwAdmission *admission,
                                const GwTicket *ticket, GwTime now);
/** Hold a place for a while, so that entries do not rush to one endpoint. */
void GwAdmission_Reserve(GwAdmission *admission, GwTicket *ticket, GwTime now);
/** @return an expired reservation, taken out, or NULL. */
GwTicket *GwAdmission_ExpireReservation(GwAdmission *admission, GwTime now);

/** Queue @p ticket; a reserved one gives its reservation up. */
GwRefusal GwAdmission_Enter(GwAdmission *admission, GwTicket *ticket,
                            GwTime now);
/** @return the next ticket to run, moved to RUNNING, or NULL. */
GwTicket *GwAdmission_Next(GwAdmission *admission, GwTime now);
/**
 * @return a running trial without output that stands in the way of a paying
 * request, moved back to QUEUED; the owner cancels its run. NULL: none
 */
GwTicket *GwAdmission_Preempt(GwAdmission *admission, GwTime now);
/** @return a queued ticket whose deadline passed, taken out, or NULL. */
GwTicket *GwAdmission_ExpireQueued(GwAdmission *admission, GwTime now);
/** The first output of @p ticket came. */
void GwAdmission_Output(GwAdmission *admission, GwTicket *ticket, GwTime now);
/** @p ticket leaves, from whatever state. */
void GwAdmission_Leave(GwAdmission *admission, GwTicket *ticket, GwTime now);

/** Learned time that a request holds a slot, microseconds. */
double GwAdmission_Hold(const GwAdmission *admission);
int GwAdmission_Running(const GwAdmission *admission);
int GwAdmission_Queued(const GwAdmission *admission);
/** Requests present in any state but reserved. */
int GwAdmission_Present(const GwAdmission *admission);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
