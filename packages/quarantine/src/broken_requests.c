#include "galenagw/quarantine/broken_requests.h"

#include <sys/queue.h>

typedef struct BrokenRequest {
    TAILQ_ENTRY(BrokenRequest) link;
    uint64_t endpoint;
    GwRequestIdentity request;
    GwTime closed_at;
} BrokenRequest;

struct GwBrokenRequests {
    TAILQ_HEAD(, BrokenRequest) list; /* oldest first */
    unsigned n;
};

static void drop_expired_(GwBrokenRequests *b, GwTime now);
static void drop_request_(GwBrokenRequests *b, BrokenRequest *broken);

GwBrokenRequests *
GwBrokenRequests_New(void)
{
    GwBrokenRequests *b = g_new0(GwBrokenRequests, 1);

    TAILQ_INIT(&b->list);
    return b;
}

void
GwBrokenRequests_Delete(GwBrokenRequests *b)
{
    if (b == NULL)
        return;
    while (!TAILQ_EMPTY(&b->list))
        drop_request_(b, TAILQ_FIRST(&b->list));
    g_free(b);
}

void
GwBrokenRequests_Add(GwBrokenRequests *b, uint64_t endpoint,
                     const GwRequestIdentity *request, GwTime now)
{
    BrokenRequest *broken = g_new0(BrokenRequest, 1);

    drop_expired_(b, now);
    if (b->n == GW_BROKEN_REQUESTS_MAX)
        drop_request_(b, TAILQ_FIRST(&b->list));
    broken->endpoint = endpoint;
    broken->request = *request;
    broken->closed_at = now;
    TAILQ_INSERT_TAIL(&b->list, broken, link);
    b->n++;
}

GArray *
GwBrokenRequests_Take(GwBrokenRequests *b, uint64_t endpoint, GwTime now,
                      GwTime *at)
{
    GArray *taken = g_array_new(FALSE, FALSE, sizeof(GwRequestIdentity));
    BrokenRequest *broken;
    BrokenRequest *next;

    *at = now;
    drop_expired_(b, now);
    for (broken = TAILQ_FIRST(&b->list); broken != NULL; broken = next) {
        next = TAILQ_NEXT(broken, link);
        if (broken->endpoint != endpoint)
            continue;
        if (taken->len == 0)
            *at = broken->closed_at;
        g_array_append_val(taken, broken->request);
        drop_request_(b, broken);
    }
    return taken;
}

static void
drop_expired_(GwBrokenRequests *b, GwTime now)
{
    BrokenRequest *broken;

    while ((broken = TAILQ_FIRST(&b->list)) != NULL &&
           now - broken->closed_at > GW_BROKEN_REQUESTS_RETENTION)
        drop_request_(b, broken);
}

static void
drop_request_(GwBrokenRequests *b, BrokenRequest *broken)
{
    TAILQ_REMOVE(&b->list, broken, link);
    b->n--;
    g_free(broken);
}
