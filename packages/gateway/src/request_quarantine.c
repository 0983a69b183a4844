#include "request_quarantine.h"

GwDigest
GwRequestQuarantine_Digest(const GwRequest *r)
{
    GwDigestSource source = {
        .account = r->account != NULL ? r->account->name : NULL,
        .method = r->head->method,
        .target = r->head->target,
        .body = r->body,
        .body_len = r->body_len,
    };

    return GwDigest_Of(&source);
}
