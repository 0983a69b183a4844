#include "scenarios.h"

void
Slopes_Run(uint32_t seed)
{
    (void)seed;
}
