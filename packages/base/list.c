#include "aq_list.h"

void
AqList_Init(AqLink *list)
{
    list->next = list;
    list->prev = list;
}

bool
AqList_IsEmpty(const AqLink *list)
{
    return list->next == list;
}

bool
AqList_IsLinked(const AqLink *link)
{
    return link->next != link;
}

static void
insert_between(AqLink *link, AqLink *prev, AqLink *next)
{
    link->prev = prev;
    link->next = next;
    prev->next = link;
    next->prev = link;
}

void
AqList_Append(AqLink *list, AqLink *link)
{
    insert_between(link, list->prev, list);
}

void
AqList_Prepend(AqLink *list, AqLink *link)
{
    insert_between(link, list, list->next);
}

void
AqList_Remove(AqLink *link)
{
    link->prev->next = link->next;
    link->next->prev = link->prev;
    AqList_Init(link);
}

AqLink *
AqList_PopFirst(AqLink *list)
{
    AqLink *first = list->next;
    if (first == list) {
        return NULL;
    }
    AqList_Remove(first);
    return first;
}

size_t
AqList_Length(const AqLink *list)
{
    size_t n = 0;
    AqList_ForEach(at, list)
    {
        n++;
    }
    return n;
}
