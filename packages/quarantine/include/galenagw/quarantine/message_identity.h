/**
 * @defgroup message_identity Identity of chat requests
 * @brief By what the quarantine recognizes requests whose prompts are given as
 * messages or as one text, without ids of parts.
 *
 * Each message but the last is a part, wherever it is in the prompt. In a
 * text, which other prompts may share up to any byte, the leading 256, 512,
 * 1024, ... bytes are parts.
 * @{
 */
#ifndef GALENAGW_QUARANTINE_MESSAGE_IDENTITY_H
#define GALENAGW_QUARANTINE_MESSAGE_IDENTITY_H

#include <jansson.h>

#include "galenagw/quarantine/in_flight.h"

#ifdef __cplusplus
extern "C" {
#endif

/** A request; strings are borrowed. */
typedef struct {
    GwDigestSource digest; /**< its content; accounts share no parts */
    const char *model;     /**< pool of engines that runs it */
    const json_t *root;    /**< the parsed body; NULL: parse it */
} GwMessageSource;

/** A body that is not JSON, such as that of a call to a service, has no parts.
 */
GwRequestIdentity GwMessageIdentity_Of(const GwMessageSource *source);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
