#ifndef JOB_API_FIXTURE_H
#define JOB_API_FIXTURE_H

#include "aq_http_client.h"
#include "fake_store.h"
#include "job_api.h"

enum {
    DEADLINE_MS = 3000,
    SHORT_DEADLINE_MS = 500,
    ROUND_MS = 20
};

/* A job API that listens on loopback, with a store that replies when the test
 * says so, and a simulated peer that serves forwarded requests. */
typedef struct {
    FakeStore *fake;
    NodeContext node;
    AqHttpServer *server;
    AqHttpClient *client;
    JobApi *job_api;
    AqQueueConfig queue;
    AqTime deadline_ms; /* of the caller's requests */
    bool has_peer;
    /* The peer fails to serve the first forwarded request: "done" of the
     * ForwardOrder is called with "has_responded" false, so this node has to
     * respond to the caller.  After that there is no peer. */
    bool is_first_returned;
    /* Number of requests forwarded to the peer so far. */
    unsigned forward_count;
    /* The last forwarded request was marked as one for which an earlier write
     * to the store may have had an effect. */
    bool may_have_effect;
    /* Number of responses that the caller has received so far. */
    unsigned response_count;
    /* HTTP status of the last response that the caller received; 0: none. */
    int status;
    /* Body of that response, truncated; "": none. */
    char response[64];
    /* Body of the submissions. */
    const char *body;
    /* Retry-After of the last response, s; 0: none. */
    int retry_after_s;
    /* Further headers "Name: value" of the requests, or NULL. */
    const char *headers[2];
} Fixture;

void set_up(Fixture *fixture);
void tear_down(Fixture *fixture);
/* Frees the index of the site, whose other parts are static or of the
 * fixture. */
void free_site_index(Fixture *fixture);
void send_to(Fixture *fixture, const char *method, const char *path);
/* Sends a request for the job ab12. */
void send_request(Fixture *fixture, const char *method);
/* Sends a request for the job ab12, with the key of a workspace unless that is
 * NULL, and executes store calls until the caller has its response; returns
 * the response's status. */
int call(Fixture *fixture, const char *method, const char *key);
/* Runs the loop until the job API calls the store or the caller has a
 * response. */
void run(Fixture *fixture);
void run_to_response(Fixture *fixture);

#endif
