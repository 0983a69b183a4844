/**
 * @defgroup quarantine_words Words of the quarantine
 * @brief What processes tell each other of requests under which endpoints
 * ended: frames of a session to the quarantine's values, and back.
 *
 * Whoever learns something new passes it on to all its peers but the one it
 * has it from, so a word goes round the fleet once, whatever the paths.
 * @{
 */
#ifndef GALENAGW_QUARANTINE_QUARANTINE_WORDS_H
#define GALENAGW_QUARANTINE_QUARANTINE_WORDS_H

#include "galenagw/quarantine/quarantine.h"
#include "galenagw/wire/session.h"

#ifdef __cplusplus
extern "C" {
#endif

/** A word that was news, to be passed on. */
typedef struct {
    bool is_end; /**< else a whole answer */
    GwEndpointEnd end;
    GwDigest sound;
    GwTime sound_at;
} GwQuarantineNews;

/** Callbacks of whoever takes words. */
typedef struct {
    /** Something was news; @p from is the session that it came by. */
    void (*on_news)(void *user, GwSession *from, const GwQuarantineNews *news);
    /** Endpoints of a group, for an end of which the teller does not know; or
     * NULL. */
    unsigned (*group_size)(void *user, uint64_t group);
} GwQuarantineWordsOps;

void GwQuarantineWords_Send(GwSession *session, const GwQuarantineNews *news);
/** Tell all that matters to a peer that may know nothing. */
void GwQuarantineWords_SendAll(GwSession *session,
                               const GwQuarantine *quarantine);
/**
 * Take a frame of @p from into @p quarantine.
 * @return false if it is about something else
 */
bool GwQuarantineWords_Take(GwQuarantine *quarantine, GwSession *from,
                            const GwFrame *frame,
                            const GwQuarantineWordsOps *ops, void *user);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
