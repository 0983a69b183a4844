/**
 * @defgroup admission Admission
 * @brief The queue and slots of one endpoint: which requests run, wait or are
 * refused.
 *
 * All requests to an endpoint pass through its agent, so the priority of
 * paying requests over trials is enforced here:
 *  - A trial starts only if no paying request waits and the free slots exceed
 *    the paying reserve.
 *  - A trial without output is preempted for a paying request, which needs its
 *    slot or the engine's prefill.
 *  - The estimate for a trial counts all paying requests as served before it;
 *    that for a paying request counts no trial.
 * Estimates refuse early: a request that cannot meet its deadline is refused
 * at once, with a time after which to retry.
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

/** State of a ticket. */
typedef enum {
    GW_TICKET_IDLE = 0,  /**< not in the queue or a slot */
    GW_TICKET_RESERVED,  /**< an offer was made for it; in no slot or queue */
    GW_TICKET_QUEUED,    /**< waits for a slot */
    GW_TICKET_RUNNING,   /**< at the endpoint, no output received yet */
    GW_TICKET_STREAMING, /**< first output received */
    GW_TICKET_STATES
} GwTicketState;

extern const char *const GwTicketState_Names[GW_TICKET_STATES];

/** A request in the queue or a slot; embedded by its owner, initialised to
 * zero. */
struct GwTicket {
    TAILQ_ENTRY(GwTicket) link;
    bool trial;      /**< request of a trial account; false: a paying one */
    int urgency;     /**< lower values are served first */
    GwTime deadline; /**< for the first output; GW_NEVER: none */
    GwTime prefill;  /**< estimated duration of its prefill, in
                          microseconds */
    /* Set by the module: */
    GwTicketState state;
    GwTime since;   /**< time of the last change to GW_TICKET_RESERVED,
                         GW_TICKET_QUEUED or GW_TICKET_RUNNING */
    uint64_t order; /**< order of arrival */
};

/** Construction options. */
typedef struct {
    int slots;             /**< most requests at the endpoint at once */
    double paying_reserve; /**< share of slots that trials never use */
    int queue_max;         /**< most queued requests */
    GwTime reserve_time;   /**< lifetime of a reservation */
} GwAdmissionOptions;

GwAdmission *GwAdmission_New(const GwAdmissionOptions *options);
void GwAdmission_Delete(GwAdmission *admission);
/** Changes the options; running tickets are not affected. */
void GwAdmission_SetOptions(GwAdmission *admission,
                            const GwAdmissionOptions *options);

/** The answer to a probe. */
typedef struct {
    GwRefusal refusal;  /**< GW_REFUSAL_NONE: accepted */
    GwTime wait;        /**< estimated time until its prefill begins */
    GwTime retry_after; /**< time after which to retry if refused */
} GwEstimate;

/** Estimates the wait of @p ticket, which is not queued. */
GwEstimate GwAdmission_Estimate(const GwAdmission *admission,
                                const GwTicket *ticket, GwTime now);
/**
 * Counts @p ticket, for which an offer was made, as work ahead in the
 * estimates for other tickets, so that entries do not all send to the same
 * endpoint. The reservation holds neither a slot nor a place in the queue. It
 * ends with GwAdmission_Enter or GwAdmission_Leave, or with
 * GwAdmission_ExpireReservation after @c reserve_time.
 */
void GwAdmission_Reserve(GwAdmission *admission, GwTicket *ticket, GwTime now);
/** Removes an expired reservation. @return its ticket, or NULL */
GwTicket *GwAdmission_ExpireReservation(GwAdmission *admission, GwTime now);

/**
 * Queues @p ticket, and releases its reservation if it has one.
 * @return GW_REFUSAL_NONE, or GW_REFUSAL_QUEUE_FULL if it was not queued
 */
GwRefusal GwAdmission_Enter(GwAdmission *admission, GwTicket *ticket,
                            GwTime now);
/** @return the next ticket to run, moved to GW_TICKET_RUNNING, or NULL */
GwTicket *GwAdmission_Next(GwAdmission *admission, GwTime now);
/**
 * Preempts a trial without output that delays a paying request.
 * @return its ticket, moved back to GW_TICKET_QUEUED, whose run the caller
 * must cancel; NULL: none
 */
GwTicket *GwAdmission_Preempt(GwAdmission *admission, GwTime now);
/** Removes a queued ticket whose deadline has passed. @return it, or NULL */
GwTicket *GwAdmission_ExpireQueued(GwAdmission *admission, GwTime now);
/** The first output of @p ticket was received. */
void GwAdmission_Output(GwAdmission *admission, GwTicket *ticket, GwTime now);
/** Removes @p ticket, in whatever state it is. */
void GwAdmission_Leave(GwAdmission *admission, GwTicket *ticket, GwTime now);

/** @return average time that a request holds a slot, in microseconds */
double GwAdmission_AverageSlotTime(const GwAdmission *admission);
/** @return number of requests at the endpoint */
int GwAdmission_Running(const GwAdmission *admission);
/** @return number of queued requests */
int GwAdmission_Queued(const GwAdmission *admission);
/** @return number of requests in any state except reserved */
int GwAdmission_Present(const GwAdmission *admission);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
