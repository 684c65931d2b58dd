#ifndef LOAD_VIEWS_H
#define LOAD_VIEWS_H

#include "aq_load_view.h"
#include "node.h"

/* Copies of the load that the owners of overloaded pools publish.  A pool's is
 * read from the store only while its submissions come to this node at short
 * intervals, at most every LOAD_VIEW_READ_MS, and no submission waits for a
 * read: the first ones after a pause find no view or an old one. */

enum {
    /* Shortest time between two reads of a pool's view. */
    LOAD_VIEW_READ_MS = 400
};

typedef struct LoadViews LoadViews;

LoadViews *load_views_create(NodeContext *node);
/* Frees the views, once a read in flight has ended. */
void load_views_drop(LoadViews *views);

/* Returns the last view of the pool that was read, whose age is not checked;
 * NULL if its owner published none or the owner has changed since.  Borrowed,
 * valid until control returns to the loop.  Starts the next read if that is
 * due. */
const AqLoadView *load_views_get(LoadViews *views, const char *pool);

#endif
