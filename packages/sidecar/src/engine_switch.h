/* The switches of one engine to newer weights: when they start (see
 * switch_schedule), their stages (see roll), and the load orders to the engine
 * with their fence. */
#ifndef GALENAGW_SIDECAR_ENGINE_SWITCH_H
#define GALENAGW_SIDECAR_ENGINE_SWITCH_H

#include "galenagw/adapter/engine.h"
#include "galenagw/base/counters.h"
#include "galenagw/base/event_log.h"
#include "galenagw/cluster/naming_store.h"
#include "galenagw/cluster/peers.h"
#include "galenagw/cluster/view.h"
#include "galenagw/net/loop.h"

/* Stage of a switch to newer weights. */
typedef enum {
    GW_STAGE_SERVING = 0,
    GW_STAGE_PREPARING, /* entries send no long runs; short ones continue */
    GW_STAGE_SETTLING,  /* entries send no requests; the queue empties */
    GW_STAGE_ORDERED,   /* the order was sent */
    GW_STAGES
} GwSwitchStage;

typedef struct GwEngineSwitch GwEngineSwitch;

/* Construction options; what they point to outlives the object. */
typedef struct {
    const char *name; /* of this process; it holds the fence */
    GwAddress endpoint;
    GwAddress store;
    int agent_port;       /* that the agents of all engines listen on */
    GwTime weights_bound; /* time until all engines must run a version */
    const GwNamingStore *naming_store;
    GwView *view;
    GwPeers *peers;
    GwEventLog *log; /* or NULL */
    GwCounters *counters;
    GRand *rand;
} GwEngineSwitchOptions;

GwEngineSwitch *GwEngineSwitch_New(GwLoop *loop,
                                   const GwEngineSwitchOptions *options);
void GwEngineSwitch_Delete(GwEngineSwitch *engine_switch);
/* The engine, listed as @p own, has sent a report: follow the switches of its
 * group, and proceed with its own. */
void GwEngineSwitch_OnReport(GwEngineSwitch *engine_switch,
                             const GwInstance *own,
                             const GwEngineReport *report);
/* The engine has restarted: it has none of the earlier orders. */
void GwEngineSwitch_OnRestarted(GwEngineSwitch *engine_switch);
GwSwitchStage GwEngineSwitch_Stage(const GwEngineSwitch *engine_switch);
/* How long a switch takes; 0: none was measured. */
GwTime GwEngineSwitch_SwitchTime(const GwEngineSwitch *engine_switch);
/* Whether the next report should be requested soon, as the state of the switch
 * may change with it. */
bool GwEngineSwitch_IsUrgent(const GwEngineSwitch *engine_switch);

#endif
