/* The command `galenagw-agent sidecar`: the sidecar of one engine. */
#ifndef GALENAGW_PROGRAM_SIDECAR_COMMAND_H
#define GALENAGW_PROGRAM_SIDECAR_COMMAND_H

#include "galenagw/base/error.h"

/* The arguments start with the name of the command. */
bool Command_Sidecar(int argc, char **argv, GwError *err);

#endif
