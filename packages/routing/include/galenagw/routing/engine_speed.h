/**
 * @defgroup engine_speed Measured speed of endpoints
 * @brief How fast endpoints are, measured by the requests they answer.
 *
 * Engines of one service may differ by a factor of more than two, and an
 * engine may become slower for a while. Engines prefill the prompts of one
 * priority in the order of their arrival. The time from one first byte to the
 * next one is therefore the time that the later request's prompt took, if it
 * waited already; whatever else waits does not matter. A sample is the ratio
 * of the time expected by the constants to this time.
 *
 * Samples are noisy. The estimate is therefore a mean of their logarithms. It
 * restarts if the median of the last few samples differs much from it: a
 * single outlier changes nothing, and a change of the engine's speed is
 * noticed after about three answers.
 *
 * The constants apply while the engines of a service do not measurably differ
 * from each other and agree with the constants, so that such services are
 * served exactly as without measurements.
 * @{
 */
#ifndef GALENAGW_ROUTING_ENGINE_SPEED_H
#define GALENAGW_ROUTING_ENGINE_SPEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "galenagw/base/clock.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Prompt tokens per millisecond of an engine with the relative speed 1.
 * Specified speeds range from 40.8 to 112. */
#define GW_NOMINAL_PREFILL_TOKENS_PER_MS 66.0
/** Time by which a running request delays the first token of a new one at an
 * engine with the relative speed 1: it lengthens each step of the engine by
 * about a tenth. */
#define GW_RUNNING_REQUEST_MS 0.4
/** Number of latest samples whose median shows a change of the speed. */
#define GW_SPEED_RECENT 5

/** Estimate for one endpoint; plain data, zero-initialised without samples.
 * Speeds are logarithms of the speed relative to the constants. */
typedef struct {
    float recent[GW_SPEED_RECENT]; /**< latest samples, a ring */
    uint8_t n_recent;
    uint8_t next_recent;
    uint16_t n;       /**< samples since the last change, up to a maximum */
    uint16_t n_usual; /**< samples in `usual`, up to a maximum */
    float mean;       /**< since the last change of the speed */
    float variance;   /**< of the samples around `mean` */
    float usual;      /**< long-term mean, over changes of the speed */
    float logged;     /**< speed that was last logged */
    GwTime first_byte_at; /**< last first byte of any request */
    GwTime sampled_at;    /**< time of the last sample */
    GwTime logged_at;     /**< 0: never */
} GwEngineSpeed;

/** A prompt whose first token was received. */
typedef struct {
    uint64_t tokens;  /**< that the engine prefilled for the request */
    unsigned running; /**< other requests at the engine */
    GwTime elapsed;   /**< since the request was sent */
} GwSpeedSample;

/** Add the sample of a first byte received at @p now. It is ignored if the
 * prompt is too short to show a speed. */
void GwEngineSpeed_AddFirstByte(GwEngineSpeed *speed,
                                const GwSpeedSample *sample, GwTime now);
/** Note a first byte that is no sample: until now, the engine was busy with
 * the request. */
void GwEngineSpeed_NoteFirstByte(GwEngineSpeed *speed, GwTime now);
/** Add a service time of a plain endpoint. Only its ratio to the service times
 * of other endpoints of the service is meaningful. */
void GwEngineSpeed_AddServiceTime(GwEngineSpeed *speed, GwTime elapsed,
                                  GwTime now);
/** Measured prompt tokens per millisecond; 0: too few or too old samples. */
double GwEngineSpeed_TokensPerMs(const GwEngineSpeed *speed, GwTime now);
/** Whether @p tokens_per_ms should be logged: it differs notably from the
 * value that was last logged, and this is some time ago. The value then counts
 * as logged. */
bool GwEngineSpeed_ShouldLog(GwEngineSpeed *speed, double tokens_per_ms,
                             GwTime now);

/** What is known of the speed of one endpoint. */
typedef struct {
    bool is_known;
    double log_speed; /**< natural logarithm of the speed relative to the
                         constants */
    double error;     /**< standard error of log_speed */
} GwSpeedEstimate;

/** The estimate from the samples of this process. */
GwSpeedEstimate GwSpeedEstimate_Own(const GwEngineSpeed *speed, GwTime now);
/** The estimate that an agent reports; unknown if @p tokens_per_ms is 0. */
GwSpeedEstimate GwSpeedEstimate_Reported(double tokens_per_ms);

/** The speeds of the endpoints of one service. */
typedef struct {
    bool applies;  /**< else the constants apply to all its endpoints */
    double median; /**< logarithm of the median speed */
} GwServiceSpeed;

/**
 * Compare the endpoints of a service.
 * @param list  reordered
 * @param is_plain plain endpoints are compared with each other only, not with
 *   the constants
 */
GwServiceSpeed GwServiceSpeed_Compare(GwSpeedEstimate *list, size_t n,
                                      bool is_plain);
/** Speed relative to the constants; of a plain endpoint, relative to its
 * service. 0: the constants apply. The median of the service if the estimate
 * of the endpoint is unknown. */
double GwServiceSpeed_Relative(const GwServiceSpeed *service,
                               const GwSpeedEstimate *estimate, bool is_plain);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
