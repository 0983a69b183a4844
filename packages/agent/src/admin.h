/* HTTP server for operators: /metrics, /healthz, /status and /drain. */
#ifndef GALENAGW_AGENT_ADMIN_H
#define GALENAGW_AGENT_ADMIN_H

#include "agent_private.h"

bool Admin_Start(GwAgent *agent, GwError *err);

#endif
