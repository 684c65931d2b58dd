#ifndef CARRIER_CALL_H
#define CARRIER_CALL_H

#include "carrier_wire.h"

/* Makes the call of an order to its VM through "workers": a carrier for an
 * owner, or an owner that has no carrier for the VM.  order->start.text must
 * be set for a start; order->id counts for nothing. */
void carrier_call(AqWorkerClient *workers, CarrierKind kind,
                  const CarrierOrder *order, AqOrderDone done, void *context);

#endif
