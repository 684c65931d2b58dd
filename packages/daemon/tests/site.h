#ifndef SITE_H
#define SITE_H

#include <jansson.h>
#include <stdbool.h>

#include "aq_test_http.h"
#include "aq_test_process.h"

/* A site is the set of processes of one test, on loopback: the simulated
 * platform, one process with all endpoints of pool "track", and the daemons.
 */

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
    /* Address of the relay that the other daemons dial instead of daemon i's
     * own peer listener; empty: they dial the listener itself. */
    char advertise[SITE_DAEMONS][32];
    /* Requests that may run at one endpoint at once; NULL: "8". */
    const char *endpoint_slots;
    /* Called whenever a daemon has started and listens; may be NULL. */
    void (*on_started)(Site *site, int daemon);
    /* Number of operators' intents that the test has sent to this site; makes
     * operation ids unique. */
    int op_count;
    /* Store revision of the entry "head", which describes the newest fleet
     * document, when the test last read that entry. */
    long long head_revision;
};

/* Paths of the programs that a site (the processes of one test) starts; main()
 * sets them. */
typedef struct {
    const char *platform;
    const char *endpoint;
    const char *daemon;
} SitePrograms;

extern SitePrograms site_programs;

/* Starts the platform, the endpoints and the daemons and returns when all
 * daemons are ready and all VMs of pool "track" serve.  Ends the test program
 * on failure. */
void site_start(Site *site);
/* Like site_start(), but uses the "advertise", "endpoint_slots" and
 * "on_started" that the caller has set; all other fields must be zero. */
void site_start_prepared(Site *site);
void site_stop(Site *site);
/* Starts daemon "i" after destroying its former process, if any; the daemon's
 * id stays the same.  "peer_port" is the port of its listener for peers; 0:
 * any free port. */
void site_start_daemon(Site *site, int i, int peer_port);

/* Response of a daemon's listener for callers or operators. */
typedef struct {
    long status; /* HTTP status; 0: no response was received */
    char outcome[24];
    char body[4096];
} SiteResponse;

void site_get(Site *site, int daemon, const char *listener, const char *path,
              SiteResponse *response);

/* A caller's HTTP request to a daemon: site_send() starts the request,
 * site_finish() waits for the response. */
typedef struct {
    AqTestHttpClient *client;
    char url[256];
    char id[96];
    char timeout[40];
    const char *headers[4];
    bool is_started;
} SiteRequest;

/* Starts a request to a daemon's listener for callers: an idempotent GET when
 * "id" is NULL, otherwise a non-idempotent POST with "id" as its request
 * id. */
void site_send(Site *site, int daemon, const char *path, const char *id,
               int timeout_ms, SiteRequest *request);
/* Starts a POST to a daemon's listener for callers, with "id" as its request
 * id; "idempotent" is sent as the Aq-Idempotent header. */
void site_send_post(Site *site, int daemon, const char *path, const char *id,
                    bool idempotent, int timeout_ms, SiteRequest *request);
void site_finish(SiteRequest *request, SiteResponse *response);
void site_call(Site *site, int daemon, const char *path, const char *id,
               SiteResponse *response);

/* An operator's intent (requested change) and its HTTP request to a daemon:
 * site_intent_send() starts the request, site_intent_finish() waits for the
 * response. */
typedef struct {
    AqTestHttpClient *client;
    char url[128];
    char body[1024];
    bool is_started;
} SiteIntent;

void site_intent_send(Site *site, int daemon, const char *op, const char *kind,
                      const char *args, SiteIntent *intent);
long site_intent_finish(SiteIntent *intent, SiteResponse *response);
/* Sends an operator's intent (requested change) to daemon "daemon" and waits
 * for the response; returns its HTTP status, or 0 when no response was
 * received. */
long site_intent(Site *site, int daemon, const char *kind, const char *args,
                 SiteResponse *response);

/* Sets the faults that the simulated platform injects, given as a JSON
 * object. */
void site_platform_faults(Site *site, const char *json);
/* Sets the faults that the endpoints inject, given as a JSON object. */
void site_endpoint_faults(Site *site, const char *json);

/* Returns the number of keys in the store that start with "prefix". */
int site_count_keys(Site *site, const char *prefix);

/* Returns how many times the endpoints ran the request with an id.  Ends the
 * test program when the endpoints' process does not respond. */
int site_runs(Site *site, const char *id);
/* Returns how many requests run now, summed over all endpoints. */
int site_running_requests(Site *site);

/* Waits until the store entry "head", which describes the newest fleet
 * document, changes, at most 50 ms from the call. */
void site_wait_change(Site *site);
/* Polls a path of a daemon's listener until the response has the HTTP status
 * "status"; returns false if that does not happen within "ms" milliseconds of
 * the call. */
bool site_wait_status(Site *site, int daemon, const char *listener,
                      const char *path, long status, int ms);
/* Polls a path of a daemon's listener for operators until the response body
 * contains a text; returns false if that does not happen within "ms"
 * milliseconds of the call. */
bool site_wait_text(Site *site, int daemon, const char *path, const char *text,
                    int ms);
/* Polls the endpoints until exactly "count" requests run at all endpoints
 * together; returns false if that does not happen within "ms" milliseconds of
 * the call. */
bool site_wait_running(Site *site, int count, int ms);

#endif
