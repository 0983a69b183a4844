/**
 * @defgroup digest Request digests
 * @brief Identifies requests of the same content, and parts of prompts.
 *
 * Request ids are new with each attempt of a caller. What an endpoint
 * processes is determined by the account, the method, the target and the body:
 * two requests with the same values are the same request sent again. Parts of
 * prompts have ids. The same id means the same part for all accounts that
 * share KV cache, wherever it is in the prompt; it is not trusted across
 * isolated accounts.
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

/** Digest of a request or of a part; two are equal if both halves are. The
 * account has a hash of its own, so that no body of one account can produce
 * the digest of another account's request. */
typedef struct {
    uint64_t account; /**< hash of the account's name; of a part: of its model
                           and of the account, if that is isolated */
    uint64_t content; /**< hash of method, target and body; of a part: its id
                       */
} GwDigest;

/** What a digest is computed from; strings are borrowed. */
typedef struct {
    const char *account; /**< name of the client account; NULL: none */
    const char *method;
    const char *target; /**< path and query */
    const char *body;
    size_t body_len;
} GwDigestSource;

GwDigest GwDigest_Of(const GwDigestSource *source);
/**
 * @param model name of the model; NULL: none
 * @param isolated_account name of the account, if it shares no KV cache with
 * others; else NULL
 */
GwDigest GwDigest_OfPart(const char *model, const char *isolated_account,
                         uint64_t id);
bool GwDigest_Equal(const GwDigest *a, const GwDigest *b);
/** Buffer size for GwDigest_Text: 16 hexadecimal digits and the NUL. */
#define GW_DIGEST_TEXT_SIZE 17

/** Writes a short form for log lines, which does not identify the digest. */
void GwDigest_Text(const GwDigest *digest, char text[GW_DIGEST_TEXT_SIZE]);
/** Buffer size for GwDigest_Key: 32 hexadecimal digits and the NUL. */
#define GW_DIGEST_KEY_SIZE 33

/** Writes the digest as a key of the store, from which it can be restored. */
void GwDigest_Key(const GwDigest *digest, char key[GW_DIGEST_KEY_SIZE]);
/** @return false if @p key is not a digest's key */
bool GwDigest_FromKey(const char *key, GwDigest *digest);
/** Hash function for hash tables that are keyed by digests. */
guint GwDigest_Hash(gconstpointer digest);
/** Equality function for hash tables that are keyed by digests. */
gboolean GwDigest_EqualKeys(gconstpointer a, gconstpointer b);

#ifdef __cplusplus
}
#endif
/** @} */
#endif
