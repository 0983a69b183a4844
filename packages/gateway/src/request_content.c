#include "request_content.h"

GwDigest
GwRequestContent_Digest(const GwRequest *r)
{
    GwDigestSource source = {
        .account = r->account != NULL ? r->account->name : NULL,
        .method = r->head->method,
        .target = r->head->target,
        .body = r->body,
        .body_len = r->body_len,
    };

    return r->identity != NULL ? r->identity->request : GwDigest_Of(&source);
}

// Parts have the scope of KV cache: their ids are trusted among the accounts
// that share it.
const GwRequestIdentity *
GwRequestContent_Identity(GwRequest *r)
{
    const char *isolated_account =
        r->account != NULL && r->account->isolated ? r->account->name : NULL;
    GwRequestIdentity *identity = r->identity;

    if (identity != NULL)
        return identity;
    identity = g_new0(GwRequestIdentity, 1);
    identity->request = GwRequestContent_Digest(r);
    for (unsigned i = 0; i + 1 < r->info.n_parts && i < GW_IDENTITY_PARTS_MAX;
         i++)
        identity->parts[identity->n_parts++] = GwDigest_OfPart(
            r->info.model, isolated_account, r->info.parts[i].id);
    r->identity = identity;
    return identity;
}
