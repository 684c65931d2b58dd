#ifndef AQ_CLI_H
#define AQ_CLI_H

/* This package is "amaranthquay", the command-line tool for the operators of a
 * fleet. */

typedef enum {
    AQ_EXIT_ACCEPTED = 0,
    AQ_EXIT_INTERNAL = 1,
    AQ_EXIT_USAGE = 2,
    AQ_EXIT_REFUSED = 3,
    AQ_EXIT_UNAVAILABLE = 4,
    AQ_EXIT_UNKNOWN = 5,
    AQ_EXIT_UNAUTHORIZED = 6,
    AQ_EXIT_STORED = 7
} AqExitCode;

/* Parses the command line, runs the command and returns the exit status, an
 * AqExitCode. */
int AqCli_Main(int argc, char **argv);

#endif
