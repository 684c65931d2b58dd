#ifndef AQ_LIST_H
#define AQ_LIST_H

#include <stdbool.h>
#include <stddef.h>

/* Link of an intrusive, circular, doubly linked list.  Each element of a list
 * has an AqLink as a field.  The list head is an AqLink too; in an empty list
 * it points to itself. */
typedef struct AqLink {
    struct AqLink *next;
    struct AqLink *prev;
} AqLink;

/* Evaluates to a pointer to the element (of the given type) that has *link as
 * its field "member". */
#define AqList_Entry(link, type, member)                                      \
    ((type *)((char *)(link)-offsetof(type, member)))

/* Loops over the links of a list from first to last.  The loop body must not
 * remove *at from the list. */
#define AqList_ForEach(at, list)                                              \
    for (AqLink *at = (list)->next; (at) != (list); (at) = (at)->next)

/* Loops over the links of a list from first to last.  The loop body may remove
 * *at from the list, but not *after, the link that follows *at. */
#define AqList_ForEachSafe(at, after, list)                                   \
    for (AqLink *at = (list)->next, *after = (at)->next; (at) != (list);      \
         (at) = (after), (after) = (at)->next)

void AqList_Init(AqLink *list);
bool AqList_IsEmpty(const AqLink *list);
/* Returns whether the link is in a list.  The link must have been initialised
 * with AqList_Init. */
bool AqList_IsLinked(const AqLink *link);
void AqList_Append(AqLink *list, AqLink *link);
void AqList_Prepend(AqLink *list, AqLink *link);
/* Removes the link from its list and initialises it again.  Does nothing to a
 * link that is initialised and in no list. */
void AqList_Remove(AqLink *link);
/* Removes the first link of the list and returns it, or returns NULL if the
 * list is empty. */
AqLink *AqList_PopFirst(AqLink *list);
size_t AqList_Length(const AqLink *list);

#endif
