/*
 * At most one run of a keyed call. Two agents before one service; a caller
 * that repeats its call through any entry to any agent; appends whose
 * answer is lost, that work late, or that never work; agents that crash
 * and come back with an empty memory; late messages.
 *
 * Steps have the names of packages/agent/src/claims.c and job.c: append,
 * read back, fold, run once. Each safeguard can be switched off by -D, and
 * then the checker must find two runs:
 *   NO_READ_BACK    run on the append's answer, without reading the log
 *   NO_INCARNATION  a claim of an earlier life counts as ours
 *   NO_RAN_CHECK    a repeat runs again though the claim is ours and ran
 *   NO_OLD_CLAIMS   a restarted agent reads only what comes after its start
 */
#define AGENTS   2
#define CALLS    3 /* submissions in all: the call and its repeats */
#define CRASHES  2
#define LOG_MAX  6
#define NOBODY   255

byte log_holder[LOG_MAX];
byte log_life[LOG_MAX];
byte log_len = 0;

/* Appends under way that may still work, in any order. */
byte late_holder[LOG_MAX];
byte late_life[LOG_MAX];
byte late_len = 0;

byte life[AGENTS];
bool ran[AGENTS];      /* memory: lost in a crash */
byte read_from[AGENTS];
byte calls_left = CALLS;
byte crashes_left = CRASHES;
byte runs = 0;

inline add_record(h, l)
{
    if
    :: log_len < LOG_MAX ->
        log_holder[log_len] = h;
        log_life[log_len] = l;
        log_len++
    :: else
    fi
}

inline run_call(i)
{
    ran[i] = true;
    runs++;
    assert(runs <= 1)
}

proctype Agent(byte i)
{
    byte mine;  /* the life in which this submission was taken */
    byte first;
    byte at;
    bool ours;

    do
    :: atomic { calls_left > 0 -> calls_left--; mine = life[i] };
        /* fold: an old claim decides without an append */
        first = NOBODY;
        d_step {
            at = read_from[i];
            do
            :: at < log_len && first == NOBODY -> first = at
            :: else -> break
            od
        };
        if
        :: first == NOBODY ->
            /* append: works; works with its answer lost; works late;
               never works */
            if
            :: atomic { add_record(i, mine) };
#ifdef NO_READ_BACK
                atomic {
                    if
                    :: life[i] == mine -> run_call(i)
                    :: else
                    fi
                };
                goto done
#endif
            :: atomic {
                   late_len < LOG_MAX ->
                   late_holder[late_len] = i;
                   late_life[late_len] = mine;
                   late_len++
               }
            :: skip
            fi
        :: else
        fi;
        /* read back: to our own record, or give up as "not run" */
        if
        :: log_len > read_from[i]
        :: true -> goto done
        fi;
        atomic {
            if
            :: log_len > read_from[i] ->
                first = read_from[i];
                ours = log_holder[first] == i;
#ifndef NO_INCARNATION
                ours = ours && log_life[first] == life[i];
#endif
                /* run once; a crash in between ends this submission */
                if
                :: ours && life[i] == mine ->
#ifndef NO_RAN_CHECK
                    if
                    :: !ran[i] -> run_call(i)
                    :: else /* the kept answer is given again */
                    fi
#else
                    run_call(i)
#endif
                :: else /* refused: claimed elsewhere */
                fi
            :: else
            fi
        };
done:   skip
    :: atomic {
           crashes_left > 0 ->
           crashes_left--;
           life[i]++;
           ran[i] = false;
#ifdef NO_OLD_CLAIMS
           read_from[i] = log_len
#endif
       }
    :: calls_left == 0 -> break
    od
}

/* The log: late appends take effect, in any order, or never. */
proctype Log()
{
    byte pick;

    do
    :: atomic {
           late_len > 0 ->
           select(pick : 0 .. late_len - 1);
           add_record(late_holder[pick], late_life[pick]);
           late_len--;
           late_holder[pick] = late_holder[late_len];
           late_life[pick] = late_life[late_len]
       }
    :: calls_left == 0 -> break
    od
}

init
{
    atomic {
        run Agent(0);
        run Agent(1);
        run Log()
    }
}
