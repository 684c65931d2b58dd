#include "carrier_call.h"

void
carrier_call(AqWorkerClient *workers, CarrierKind kind,
             const CarrierOrder *order, AqOrderDone done, void *context)
{
    AqOrderTarget target = {.address = order->address, .vm = order->vm};
    const AqStartOrder *start = &order->start;
    switch (kind) {
    case CARRIER_START:
        workers->ops->start(workers, &target, start, done, context);
        break;
    case CARRIER_STOP:
        workers->ops->stop(workers, &target, &start->task, start->run,
                           start->fence, done, context);
        break;
    case CARRIER_RENEW:
        workers->ops->renew(workers, &target, &order->renewal, done, context);
        break;
    default:
        workers->ops->pace(workers, &target, &start->task, start->run,
                           order->percent, start->fence, done, context);
        break;
    }
}
