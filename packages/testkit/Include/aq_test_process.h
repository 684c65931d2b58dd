#ifndef AQ_TEST_PROCESS_H
#define AQ_TEST_PROCESS_H

#include <stdbool.h>
#include <sys/types.h>

#include "aq_error.h"

/* Child process of a test or of the demo.  The kernel kills the child when
 * its parent ends. */
typedef struct AqProcess AqProcess;

/* Starts the program at the path argv[0].  The child's standard error is
 * appended to the file "log"; with a NULL log the child inherits the parent's
 * standard error.  Returns NULL on error. */
AqProcess *AqProcess_Spawn(const char *const *argv, const char *log,
                           AqError *error);
/* Like AqProcess_Spawn, but appends the child's standard output to the file
 * "log" too, so that AqProcess_WaitReady does not see it. */
AqProcess *AqProcess_SpawnLogged(const char *const *argv, const char *log,
                                 AqError *error);
/* Kills the process when it is still running, reaps it and frees its
 * data.  Ignores NULL. */
void AqProcess_Destroy(AqProcess *process);

pid_t AqProcess_Pid(const AqProcess *process);
/* Returns a descriptor that becomes readable when the process ends; the
 * descriptor is owned by the AqProcess. */
int AqProcess_EndDescriptor(const AqProcess *process);
/* Waits until the process prints the line "ready NAME=ADDRESS:PORT ..." to its
 * standard output.  Returns false when ms milliseconds pass or the process
 * ends before that. */
bool AqProcess_WaitReady(AqProcess *process, int ms, AqError *error);
/* Returns the "ADDRESS:PORT" that the process printed for a name in the line
 * "ready NAME=ADDRESS:PORT ..." on its standard output, or NULL when the line
 * lacks the name.  The string is owned by the AqProcess. */
const char *AqProcess_Address(const AqProcess *process, const char *name);
/* Sends a signal to the process.  Fails with AQ_ERR_NOT_FOUND when the process
 * has ended. */
bool AqProcess_Signal(AqProcess *process, int signal, AqError *error);
/* Waits up to ms milliseconds for the process to end; with 0 the function
 * only checks whether the process has ended.  Sets *status to the exit
 * status, or to 128 + the number of the signal that ended the process.  Fails
 * with AQ_ERR_TIMEOUT when the process is still running. */
bool AqProcess_WaitExit(AqProcess *process, int ms, int *status,
                        AqError *error);

#endif
