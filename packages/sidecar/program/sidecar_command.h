/* galenagw-agent sidecar: the program beside an engine of the platform. */
#ifndef GALENAGW_PROGRAM_SIDECAR_COMMAND_H
#define GALENAGW_PROGRAM_SIDECAR_COMMAND_H

#include "galenagw/base/error.h"

/* Gets the arguments from its own name on. */
bool Command_Sidecar(int argc, char **argv, GwError *err);

#endif
