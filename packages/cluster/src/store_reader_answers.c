#include "store_reader_answers.h"

#include "galenagw/adapter/store.h"
#include "store_reader_outages.h"

/* An endpoint's record expires after this many heartbeat intervals without
 * renewal. */
#define EXPIRE_AFTER_INTERVALS 3
/* Allowance for the store's delay in removing an expired record. */
#define REMOVAL_DELAY (1400 * GW_MILLISECOND)

static void finish_full_read_(ListReader *lr);
static GwTime restored_reread_delay_(const GwStoreReader *r);
static void on_record_(void *user, GwList list, const GwRecord *record);
static void log_list_read_(const ListReader *lr, int64_t known_end);

bool
GwStoreReaderAnswers_Apply(ListReader *lr, const char *body, size_t len,
                           GwError *err)
{
    GwRecords *records = GwView_Records(lr->owner->options.view);
    int64_t end = 0;
    char *page_after = NULL;

    if (!lr->needs_full_read) {
        int64_t next = GwPosition_Offset(lr->call_from);

        if (!GwStore_DecodeRead(body, len, lr->list, &next, on_record_, lr,
                                &end, err))
            return false;
        GwRecords_SetEnd(records, lr->list, GwPosition_Of(lr->era, next));
        lr->is_after_full_read = false;
        // Within an era the store keeps all acknowledged records, so an
        // earlier end means a different store with unrelated offsets.
        lr->needs_full_read = GwPosition_Of(lr->era, end) < lr->call_from;
        return true;
    }
    if (!GwStore_DecodeFullRead(body, len, lr->list, on_record_, lr, &end,
                                &page_after, err))
        return false;
    // Pages are not a snapshot: a record on an earlier page may have changed
    // since that page was sent. Reading therefore continues at the end given
    // with the first page, not with the last one.
    if (lr->page_after == NULL)
        lr->full_read_end = end;
    g_free(lr->page_after);
    lr->page_after = page_after;
    if (page_after == NULL)
        finish_full_read_(lr);
    return true;
}

static void
finish_full_read_(ListReader *lr)
{
    GwView *view = lr->owner->options.view;
    GwRecords *records = GwView_Records(view);

    log_list_read_(lr, GwRecords_End(records, lr->list));
    // Live endpoints that the restored copy lacks write their records again
    // shortly.
    if (lr->is_after_restore && lr->list == GW_LIST_INSTANCES)
        GwStoreReaderOutages_DeferRemovals(lr->owner, "restore", 0);
    GwRecords_EndFullRead(records, lr->list,
                          GwPosition_Of(lr->era, lr->full_read_end));
    if (lr->is_after_restore && lr->records_not_newer > 0)
        GwTimer_Start(&lr->reread_timer, restored_reread_delay_(lr->owner));
    if (lr->list == GW_LIST_OPERATOR)
        GwView_NoteOperatorListComplete(view);
    lr->is_after_restore = false;
    lr->is_after_full_read = true;
    lr->needs_full_read = false;
}

// Returns the delay before a restored list is read again. Until then, records
// of keys that were removed before the restore are ignored; by that time the
// records of departed endpoints have expired.
static GwTime
restored_reread_delay_(const GwStoreReader *r)
{
    return EXPIRE_AFTER_INTERVALS * r->options.heartbeat_interval +
           REMOVAL_DELAY;
}

static void
on_record_(void *user, GwList list, const GwRecord *record)
{
    ListReader *lr = user;
    GwRecords *records = GwView_Records(lr->owner->options.view);
    GwRecord positioned = *record;
    bool is_newer;

    positioned.offset = GwPosition_Of(lr->era, record->offset);
    if (!lr->needs_full_read)
        is_newer = GwRecords_Apply(records, list, &positioned);
    else if (lr->is_after_restore)
        is_newer = GwRecords_ApplyRestored(records, list, &positioned);
    else
        is_newer = GwRecords_ApplyFullRead(records, list, &positioned);
    lr->records_read++;
    lr->records_not_newer += !is_newer;
}

static void
log_list_read_(const ListReader *lr, int64_t known_end)
{
    GwEventLog *log = lr->owner->options.log;

    GwEvent_Begin(log, "list_read", NULL);
    GwEvent_Text(log, "list", GwList_Names[lr->list]);
    GwEvent_Number(log, "records", lr->records_read);
    GwEvent_Number(log, "older", lr->records_not_newer);
    GwEvent_Number(log, "end", lr->full_read_end);
    GwEvent_Number(log, "known_end", GwPosition_Offset(known_end));
    GwEvent_End(log);
}
