#include "evaluation.h"

#include "attribution.h"
#include "retries.h"
#include "suspects.h"

/* Least time between two updates of a harmless part. */
#define REFRESH_INTERVAL (200 * GW_MILLISECOND)

static void report_change_(const GwQuarantine *q, const Suspect *s);

void
Evaluation_Update(GwQuarantine *q, Suspect *s, GwTime now)
{
    bool was_quarantined = s->quarantined_until != 0;
    bool is_quarantined;
    Cause cause;

    s->evaluated_at = now;
    s->quarantined_until = s->record_until;
    s->term = GW_QUARANTINE_TERM_MIN;
    s->last_failed_at = 0;
    if (Attribution_FindCause(q, s, &cause)) {
        s->term = Retries_Term(cause.n_failures);
        s->quarantined_until = MAX(s->record_until, cause.last_at + s->term);
        s->last_failed_at = cause.last_at;
        s->last_endpoint = cause.last_endpoint;
        s->n_rounds = cause.n_rounds;
    }
    is_quarantined = s->quarantined_until != 0;
    if (is_quarantined == was_quarantined)
        return;
    s->quarantined_at = is_quarantined ? now : 0;
    report_change_(q, s);
}

// Updates on terminations with a common cause arrive one by one, and the
// requests in flight at one of them in several. A request that looked like the
// cause of the first three may turn out to have been in flight by coincidence,
// or the reverse. If all were not reconsidered, the order of the updates would
// decide.
void
Evaluation_UpdateAll(GwQuarantine *q, GwTime now)
{
    Suspect *s;

    for (size_t kind = 0; kind < GW_SUSPECT_KINDS; kind++) {
        TAILQ_FOREACH(s, &q->repeated[kind], link)
        {
            if (Suspect_IsHarmlessPart(s))
                Evaluation_Refresh(q, s, now);
            else if (s->quarantined_until != 0 ||
                     s->n_terminations >= GW_QUARANTINE_TERMINATIONS)
                Evaluation_Update(q, s, now);
        }
    }
}

void
Evaluation_Refresh(GwQuarantine *q, Suspect *s, GwTime now)
{
    if (Suspect_IsHarmlessPart(s) && now - s->evaluated_at > REFRESH_INTERVAL)
        Evaluation_Update(q, s, now);
}

static void
report_change_(const GwQuarantine *q, const Suspect *s)
{
    GwQuarantineChange change = {
        .kind = s->kind,
        .digest = s->digest,
        .n_terminations = s->n_terminations,
        .is_quarantined = s->quarantined_until != 0,
        .source = s->source,
    };

    if (q->options.on_changed != NULL)
        q->options.on_changed(q->options.user, &change);
}
