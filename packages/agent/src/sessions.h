/* Sessions with entries; passes each frame to the module that handles it. */
#ifndef GALENAGW_AGENT_SESSIONS_H
#define GALENAGW_AGENT_SESSIONS_H

#include "agent_private.h"

bool Sessions_Start(GwAgent *agent, GwError *err);
void Sessions_Stop(GwAgent *agent);

#endif
