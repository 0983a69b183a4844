/* Processes of a bench run: started, measured and stopped by the bench. */
#ifndef GALENAGW_BENCH_PROCS_H
#define GALENAGW_BENCH_PROCS_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

#define MAX_PORTS 64

typedef struct {
    pid_t pid;
    int ports[MAX_PORTS];
    int n_ports;
    int admin;
} Proc;

/* Start argv[0] beside this program; wait until it has told its ports. */
void Procs_Start(Proc *proc, int wanted_ports, const char *const argv[]);
/* SIGTERM and wait. */
void Procs_Stop(Proc *proc);
/* SIGKILL and wait. */
void Procs_Kill(Proc *proc);
/* Freeze and thaw, by SIGSTOP and SIGCONT. */
void Procs_Freeze(const Proc *proc, bool frozen);
/* Processor time used, in seconds. */
double Procs_Cpu(const Proc *proc);
/* Resident memory, bytes. */
size_t Procs_Memory(const Proc *proc);
/* Blocking GET or POST for set-up and statistics; free with g_free. */
char *Procs_Http(int port, const char *method, const char *path,
                 const char *body);

#endif
