/**
 * @defgroup digest Request digests
 * @brief Tells whether two requests are of the same content.
 *
 * Ids are new with each attempt of a caller's. What an endpoint works on is
 * the account, the path and the body: two requests with the same three are
 * one request that came again.
 * @{
 */
#ifndef GALENAGW_QUARANTINE_DIGEST_H
#define GALENAGW_QUARANTINE_DIGEST_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Both halves must be equal. The account stands by itself: whatever bytes
 * one account sends, it cannot make its request pass for another's. */
typedef struct {
    uint64_t account;
    uint64_t content;
} GwDigest;

/** What a digest is made of; strings are borrowed. */
typedef struct {
    const char *account; /**< name of the client account; NULL: none */
    const char *method;
    const char *target; /**< path and query */
    const char *body;
    size_t body_len;
} GwDigestSource;

GwDigest GwDigest_Of(const GwDigestSource *source);
bool GwDigest_Equal(const GwDigest *a, const GwDigest *b);
/** Room for its text, for log lines: 16 digits. */
#define GW_DIGEST_TEXT 17

void GwDigest_Text(const GwDigest *digest, char text[GW_DIGEST_TEXT]);
/** Room for its key, which tells the whole digest: 32 digits. */
#define GW_DIGEST_KEY 33

void GwDigest_Key(const GwDigest *digest, char key[GW_DIGEST_KEY]);
/** @return false if @p key is none */
bool GwDigest_FromKey(const char *key, GwDigest *digest);
/** For hash tables that are keyed by digests. */
guint GwDigest_Hash(gconstpointer digest);
gboolean GwDigest_EqualKeys(gconstpointer a, gconstpointer b);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
