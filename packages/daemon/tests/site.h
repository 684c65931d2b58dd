#ifndef SITE_H
#define SITE_H

#include <jansson.h>
#include <stdbool.h>

#include "aq_test_http.h"
#include "aq_test_process.h"

/* A small site of real processes on loopback: the platform's stand-in,
 * endpoints of one pool and daemons. */

enum {
    SITE_DAEMONS = 3,
    SITE_ENDPOINTS = 4,
    SITE_MIN_SERVING = 2
};

typedef struct Site Site;
struct Site {
    AqProcess *platform;
    AqProcess *endpoints;
    AqProcess *daemons[SITE_DAEMONS];
    char directory[64];
    /* Address of a relay that the peers of daemon i dial; "": its own. */
    char advertise[SITE_DAEMONS][32];
    const char *endpoint_slots;              /* of each endpoint; NULL: 8 */
    void (*started)(Site *site, int daemon); /* when it listens; or NULL */
    int ops;                                 /* intents sent */
    long long index; /* of the fleet document when it was last read */
};

/* Paths of the programs, set by main. */
typedef struct {
    const char *platform;
    const char *endpoint;
    const char *daemon;
} SitePrograms;

extern SitePrograms site_programs;

/* Starts everything and returns when all daemons are ready and all VMs of
 * pool "track" serve.  Ends the test program when that does not work. */
void site_start(Site *site);
/* The same with "advertise", "endpoint_slots" and "started" set by the caller
 * and the rest zero. */
void site_start_prepared(Site *site);
void site_stop(Site *site);
/* Starts daemon "i" again with the same id; "port" of its former listener for
 * peers, or 0. */
void site_start_daemon(Site *site, int i, int peer_port);

/* A call of a listener ("callers" or "operators") of daemon "i". */
typedef struct {
    long status; /* 0: no answer */
    char outcome[24];
    char body[4096];
} SiteAnswer;

void site_get(Site *site, int daemon, const char *listener, const char *path,
              SiteAnswer *answer);

/* A request of a caller, started now and finished later. */
typedef struct {
    AqTestHttpClient *client;
    char url[256];
    char id[96];
    char timeout[40];
    const char *headers[4];
    bool started;
} SiteRequest;

/* "id" NULL: an idempotent GET; else a non-idempotent POST. */
void site_send(Site *site, int daemon, const char *path, const char *id,
               int timeout_ms, SiteRequest *request);
/* A POST with an id. */
void site_send_as(Site *site, int daemon, const char *path, const char *id,
                  bool idempotent, int timeout_ms, SiteRequest *request);
void site_finish(SiteRequest *request, SiteAnswer *answer);
void site_call(Site *site, int daemon, const char *path, const char *id,
               SiteAnswer *answer);

/* An intent, started now and finished later. */
typedef struct {
    AqTestHttpClient *client;
    char url[128];
    char body[1024];
    bool started;
} SiteIntent;

void site_intent_send(Site *site, int daemon, const char *op, const char *kind,
                      const char *args, SiteIntent *intent);
long site_intent_finish(SiteIntent *intent, SiteAnswer *answer);
/* Sends an intent to daemon "i"; the HTTP status. */
long site_intent(Site *site, int daemon, const char *kind, const char *args,
                 SiteAnswer *answer);

/* Sets faults of the platform or of the endpoints. */
void site_platform_faults(Site *site, const char *json);
void site_endpoint_faults(Site *site, const char *json);

/* Keys in the store that start with a prefix. */
int site_count_keys(Site *site, const char *prefix);

/* Runs of a request id at the endpoints; -1 on failure. */
int site_runs(Site *site, const char *id);
/* Requests that are running at all endpoints now. */
int site_running(Site *site);

/* Waits for the next change of the fleet document, at most 50 ms. */
void site_wait_change(Site *site);
/* Asks until the answer of a path has the status, or gives up. */
bool site_wait_status(Site *site, int daemon, const char *listener,
                      const char *path, long status, int ms);
/* Asks until the status page of a daemon contains a text. */
bool site_wait_text(Site *site, int daemon, const char *path, const char *text,
                    int ms);
/* Asks until so many requests run at the endpoints. */
bool site_wait_running(Site *site, int count, int ms);

#endif
