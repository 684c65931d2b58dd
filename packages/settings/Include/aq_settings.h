#ifndef AQ_SETTINGS_H
#define AQ_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "aq_buffer.h"
#include "aq_clock.h"
#include "aq_error.h"

/* Settings of amaranthquayd, read from a TOML file.  Every key is checked for
 * type and range, unknown keys are refused, and each error names the file,
 * the key, the value, what is allowed and the remedy. */

typedef struct {
    char *node_id;         /* entry VM, unique in the deployment */
    char *node_zone;       /* data centre */
    char *node_cpu_share;  /* of a core, as a decimal number */
    char *node_log_level;  /* error, warning, info or debug */
    char *callers_address; /* IP numbers */
    int64_t callers_port;  /* 0: any free port */
    int64_t callers_connections;
    char *operators_address;
    int64_t operators_port;
    char *operators_token;
    char *peers_address;
    int64_t peers_port;
    char *peers_advertise; /* "IP:port", or "": address and port */
    char *peers_secret;
    char *peers_seeds; /* "IP:port,IP:port" */
    char *store_url;
    int64_t store_timeout_ms;
    int64_t claims_retention_ms;
    int64_t claims_batch_ms;
    int64_t router_queue_limit;
    int64_t router_max_request_bytes;
    int64_t router_max_answer_bytes;
    int64_t router_default_timeout_ms;
    int64_t stop_balancer_wait_ms;
    int64_t stop_limit_ms;
    /* On the platform (platform_store is not empty): "IP:port" each. */
    char *platform_store;
    char *platform_machines; /* "": VMs can't be ordered about */
    char *platform_advice;   /* "": no queue needs tickets */
    char *callers_listen;
    char *readiness_listen;
    char *metrics_listen; /* "": none */
    int64_t limits_longest_lease_ms;
    int64_t limits_machine_pause_ms;
    int64_t stop_grace_s;
} AqSettings;

/* Reads and checks a file.  The result is new. */
AqSettings *AqSettings_Load(const char *path, AqError *error);
void AqSettings_Destroy(AqSettings *settings);

/* Appends a table of all keys with type, default and range. */
void AqSettings_Describe(AqBuffer *out);

#endif
