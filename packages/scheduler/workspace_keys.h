#ifndef WORKSPACE_KEYS_H
#define WORKSPACE_KEYS_H

#include "aq_site_config.h"

/* Table of the keys of all workspaces of a configuration. */

typedef struct WorkspaceKeys WorkspaceKeys;

/* Returns a new table, which borrows the configuration's workspaces.  A key
 * that two workspaces have belongs to the first. */
WorkspaceKeys *workspace_keys_create(const AqSiteConfig *config);
void workspace_keys_destroy(WorkspaceKeys *keys);
/* Returns the workspace with this key; NULL: there is none.  Borrowed. */
const AqWorkspaceConfig *workspace_keys_find(const WorkspaceKeys *keys,
                                             const char *key);

#endif
