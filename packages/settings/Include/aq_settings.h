#ifndef AQ_SETTINGS_H
#define AQ_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "aq_buffer.h"
#include "aq_clock.h"
#include "aq_error.h"

/* Settings of amaranthquayd, read from a TOML file.  The type and range of
 * every key are checked, and unknown keys are rejected.  Each error message
 * names the file, the key, the value, the allowed values and the remedy. */

typedef struct {
    char *node_id;        /* id of this entry VM, unique in the deployment */
    char *node_zone;      /* data centre of this entry VM */
    char *node_cpu_share; /* this VM's share of a core, such as "0.25" */
    /* Bandwidth of the VM's link in Mbit/s, such as "200"; "0": not known. */
    char *node_link_mbps;
    char *node_log_level; /* "error", "warning", "info" or "debug" */
    /* IPv4 address of the listener for callers. */
    char *callers_address;
    int64_t callers_port; /* TCP port for callers; 0: any free port */
    int64_t callers_connections;
    char *operators_address;
    int64_t operators_port;
    char *operators_token;
    char *peers_address;
    int64_t peers_port;
    /* "IP:port" that other entry VMs connect to; "": the address and port of
     * the listener for peers. */
    char *peers_advertise;
    char *peers_secret;
    char *peers_seeds; /* addresses of entry VMs: "IP:port,IP:port" */
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
    /* "IP:port" of the platform's store; "": the daemon does not run on the
     * platform. */
    char *platform_store;
    /* "IP:port" of the platform service that lists the VMs and takes orders to
     * move a VM or take it down for maintenance; "": the daemon sends no such
     * orders. */
    char *platform_machines;
    /* "IP:port" of the platform service that grants tickets, each of which
     * permits starting the tasks of a step on one VM; "": no queue requires
     * tickets. */
    char *platform_advice;
    /* On the platform: "IP:port" of the listener for callers. */
    char *callers_listen;
    /* On the platform: "IP:port" of the listener for the balancer's check. */
    char *readiness_listen;
    /* On the platform: "IP:port" of the listener for metrics; "": none. */
    char *metrics_listen;
    /* On the platform: "IP:port" on which this entry VM takes orders to VMs
     * from the owners of large pools; "": it takes none. */
    char *carriers_listen;
    int64_t limits_longest_lease_ms;
    int64_t limits_machine_pause_ms;
    char *limits_far_rack_factor;
    int64_t limits_place_wait_ms;
    int64_t stop_grace_s;
} AqSettings;

/* Reads and checks a settings file.  Returns new settings, which the caller
 * frees with AqSettings_Destroy, or NULL and fills *error. */
AqSettings *AqSettings_Load(const char *path, AqError *error);
void AqSettings_Destroy(AqSettings *settings);

/* Appends a table of all settings to *out, one line each with the key, type,
 * default, range and description. */
void AqSettings_Describe(AqBuffer *out);

#endif
