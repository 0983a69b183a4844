#include "galenagw/quarantine/quarantine.h"

#include "evaluation.h"
#include "retries.h"
#include "suspects.h"
#include "ties.h"

static void check_suspect_(const GwQuarantine *q, const Suspect *s,
                           GwTime time_left, GwQuarantineVerdict *verdict);
static GwTime part_time_left_(const GwQuarantine *q,
                              const GwRequestIdentity *request,
                              const Suspect *s, GwTime now);
static void begin_retry_(Suspect *s, GwTime now);
static void withdraw_retry_(Suspect *s, GwTime admitted_at);
static bool is_next_to_quarantine_(const Suspect *s);

GwQuarantineVerdict
GwQuarantine_Check(GwQuarantine *q, const GwRequestIdentity *request,
                   GwTime now)
{
    GwQuarantineVerdict verdict = {0};
    Suspect *s = Suspects_Find(q, &request->request);

    if (s != NULL && s->quarantined_until != 0)
        check_suspect_(q, s, Retries_TimeLeft(q, s, now), &verdict);
    for (unsigned i = 0; i < request->n_parts; i++) {
        s = Suspects_Find(q, &request->parts[i]);
        if (s == NULL)
            continue;
        Evaluation_Refresh(q, s, now);
        if (s->quarantined_until != 0)
            check_suspect_(q, s, part_time_left_(q, request, s, now),
                           &verdict);
    }
    return verdict;
}

GwQuarantineVerdict
GwQuarantine_Admit(GwQuarantine *q, const GwRequestIdentity *request,
                   GwTime now)
{
    GwQuarantineVerdict verdict = GwQuarantine_Check(q, request, now);

    if (verdict.time_left > 0)
        return verdict;
    begin_retry_(Suspects_Find(q, &request->request), now);
    for (unsigned i = 0; i < request->n_parts; i++)
        begin_retry_(Suspects_Find(q, &request->parts[i]), now);
    return verdict;
}

void
GwQuarantine_Withdraw(GwQuarantine *q, const GwRequestIdentity *request,
                      GwTime admitted_at)
{
    withdraw_retry_(Suspects_Find(q, &request->request), admitted_at);
    for (unsigned i = 0; i < request->n_parts; i++)
        withdraw_retry_(Suspects_Find(q, &request->parts[i]), admitted_at);
}

bool
GwQuarantine_MayRetry(GwQuarantine *q, const GwRequestIdentity *request,
                      bool may_have_run, GwTime now)
{
    if (GwQuarantine_Check(q, request, now).time_left > 0)
        return false;
    if (!may_have_run)
        return true;
    if (is_next_to_quarantine_(Suspects_Find(q, &request->request)))
        return false;
    for (unsigned i = 0; i < request->n_parts; i++) {
        if (is_next_to_quarantine_(Suspects_Find(q, &request->parts[i])))
            return false;
    }
    return true;
}

// The suspect that is refused for the longest time decides.
static void
check_suspect_(const GwQuarantine *q, const Suspect *s, GwTime time_left,
               GwQuarantineVerdict *verdict)
{
    if (time_left <= verdict->time_left)
        return;
    *verdict = (GwQuarantineVerdict){
        .time_left = time_left,
        .kind = s->kind,
        .suspect = s->digest,
        .n_terminations = s->n_terminations,
        .since = s->quarantined_at,
        .source = s->source,
    };
}

static GwTime
part_time_left_(const GwQuarantine *q, const GwRequestIdentity *request,
                const Suspect *s, GwTime now)
{
    if (Suspect_IsHarmlessPart(s) || !Ties_ContainsAll(q, request, s))
        return Retries_ProbeTimeLeft(q, s, now);
    return Retries_TimeLeft(q, s, now);
}

static void
begin_retry_(Suspect *s, GwTime now)
{
    if (s != NULL && s->quarantined_until != 0)
        s->retried_at = now;
}

// A retry of another request may have begun since.
static void
withdraw_retry_(Suspect *s, GwTime admitted_at)
{
    if (s != NULL && s->retried_at == admitted_at)
        s->retried_at = 0;
}

static bool
is_next_to_quarantine_(const Suspect *s)
{
    return s != NULL && !Suspect_IsHarmlessPart(s) &&
           s->n_terminations + 1 >= GW_QUARANTINE_TERMINATIONS;
}
