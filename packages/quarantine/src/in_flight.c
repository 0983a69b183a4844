#include "galenagw/quarantine/in_flight.h"

static void add_request_(GwInFlight *f, const GwDigest *request);
static void add_part_(GwInFlight *f, const GwDigest *part);

void
GwInFlight_Add(GwInFlight *f, const GwRequestIdentity *request)
{
    add_request_(f, &request->request);
    for (unsigned i = 0; i < request->n_parts; i++)
        add_part_(f, &request->parts[i]);
}

void
GwInFlight_AddAll(GwInFlight *f, const GArray *requests)
{
    for (guint i = 0; i < requests->len; i++)
        GwInFlight_Add(f, &g_array_index(requests, GwRequestIdentity, i));
}

static void
add_request_(GwInFlight *f, const GwDigest *request)
{
    for (size_t i = 0; i < f->n_requests; i++) {
        if (GwDigest_Equal(&f->requests[i], request))
            return;
    }
    if (f->n_requests < GW_TERMINATION_REQUESTS_MAX)
        f->requests[f->n_requests++] = *request;
}

static void
add_part_(GwInFlight *f, const GwDigest *part)
{
    for (size_t i = 0; i < f->n_parts; i++) {
        if (GwDigest_Equal(&f->parts[i].digest, part))
            return;
    }
    if (f->n_parts < GW_TERMINATION_PARTS_MAX)
        f->parts[f->n_parts++] = (GwPartInFlight){.digest = *part};
}
