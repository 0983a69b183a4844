/*
 * Orders to an engine to load weights, as packages/sidecar/src/sidecar.c
 * gives them: one sidecar for each engine, an order that names the engine's
 * incarnation and its count of orders, read back by reports.
 *
 * Versions 1 to VERSIONS are named one after the other. An order may lose its
 * answer, be carried out late, or never. The engine may restart: another
 * incarnation with a count of 0 and the weights it had. The sidecar may
 * restart and forget all.
 * Claims: the engine's weights never go back; in the end they are the newest
 * (checked at the valid end state).
 * Safeguards, each off by -D:
 *   NO_COUNT        the engine does not compare its count of orders
 *   NO_INCARNATION  orders reach whoever answers at the address
 *   NO_READ_BACK    an order without an answer is taken as carried out
 */
#define VERSIONS 3
/* Orders that may be in doubt at once; they overtake each other. */
#define SLOTS    3

byte named = 1;
byte weights = 1;
byte count = 0;       /* orders that the engine accepted */
byte incarnation = 1;

/* Orders under way: version (0: none), expected count, incarnation. */
byte version[SLOTS];
byte expected[SLOTS];
byte whom[SLOTS];
byte restarts = 0;
byte sidecar_restarts = 0;
byte believed = 1;    /* weights, as the sidecar takes them to be */

#define NONE_UNDER_WAY (version[0] == 0 && version[1] == 0 && version[2] == 0)

inline carry_out(i)
{
    if
#ifndef NO_INCARNATION
    :: whom[i] != incarnation /* 421 */
#endif
#ifndef NO_COUNT
    :: expected[i] != count /* 409 */
#endif
    :: version[i] == weights /* 200: it holds */
    :: else ->
        assert(version[i] > weights);
        weights = version[i];
        count++
    fi;
    version[i] = 0
}

active proctype Operators()
{
    do
    :: named < VERSIONS -> named++
    :: else -> break
    od
}

active proctype Engine()
{
    byte i;

    do
    :: atomic { version[0] != 0 -> i = 0; carry_out(i) }
    :: atomic { version[1] != 0 -> i = 1; carry_out(i) }
    :: atomic { version[2] != 0 -> i = 2; carry_out(i) }
    /* the network may lose one */
    :: atomic { version[0] != 0 -> version[0] = 0 }
    :: atomic {
           restarts < 1 ->
           restarts++;
           incarnation++;
           count = 0
       }
end: :: atomic {
           named == VERSIONS && weights == VERSIONS && NONE_UNDER_WAY -> break
       }
    od
}

inline put(i)
{
    version[i] = named;
    expected[i] = seen_count;
    whom[i] = seen_who
}

active proctype Sidecar()
{
    byte seen_count, seen_who;

    do
    /* a report, then an order by what it told; both may be old by then */
    :: atomic {
           believed < named ->
           believed = weights;
           seen_count = count;
           seen_who = incarnation
       }
       if
       :: atomic { believed < named && version[0] == 0 -> put(0) }
#ifdef NO_READ_BACK
          believed = named
#endif
       :: atomic { believed < named && version[1] == 0 -> put(1) }
       :: atomic { believed < named && version[2] == 0 -> put(2) }
       :: else
       fi
    :: atomic {
           sidecar_restarts < 1 ->
           sidecar_restarts++;
           believed = 1
       }
end: :: atomic { named == VERSIONS && believed >= named -> break }
    od;
    /* Once it believes the work done, nothing newer is ordered any more. */
    assert(weights >= believed || !NONE_UNDER_WAY)
}
