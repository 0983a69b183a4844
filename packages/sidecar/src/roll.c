#include "galenagw/sidecar/roll.h"

/* A fifth of the engines at once, two at least: the users' sheets name such
 * numbers, up to which a load takes its shortest time. */
#define AT_ONCE_SHARE 5
#define AT_ONCE_LEAST 2
/* From one turn to the next: running requests finish in about 300 ms and a
 * load takes 430. Half of a turn overlaps with the next one's finishing. */
#define TURN (450 * GW_MILLISECOND)

size_t
GwRoll_AtOnce(size_t engines)
{
    size_t n = engines / AT_ONCE_SHARE;

    return n > AT_ONCE_LEAST ? n : AT_ONCE_LEAST;
}

GwTime
GwRoll_Delay(const GwRollTurn *turn)
{
    return (GwTime)(turn->before / GwRoll_AtOnce(turn->engines)) * TURN;
}
