#include "galenagw/routing/kv_save.h"

/* A request with up to this many own tokens always saves its prompt. One with
 * more saves it only if it has at least as many shared tokens. */
#define OWN_TOKENS_ALWAYS_SAVED 2200

bool
GwKvSave_ShouldSave(uint32_t own, uint32_t shared)
{
    return own <= OWN_TOKENS_ALWAYS_SAVED || own <= shared;
}
