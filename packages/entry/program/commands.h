/* The commands of galenagw other than `entry`. */
#ifndef GALENAGW_PROGRAM_COMMANDS_H
#define GALENAGW_PROGRAM_COMMANDS_H

#include "galenagw/base/error.h"

/* argv[0] is the name of the command. */
bool Command_Gateway(int argc, char **argv, GwError *err);
bool Command_Config(int argc, char **argv, GwError *err);
bool Command_Status(int argc, char **argv, GwError *err);
bool Command_Drain(int argc, char **argv, GwError *err);

#endif
