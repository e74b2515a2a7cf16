/** Filter that carries out orders of the health pipe (promote or follow), each on a new connection. */
import { match, P } from "ts-pattern";
import {
    type BackendClosed,
    type BackendFollow,
    BackendKind,
    type BackendOpened,
    type BackendOpenFailed,
    type BackendOrdered,
    type BackendPromote,
} from "../model/backendMessages.ts";
import { ClusterKind, type DatabasesChanged, type LeasesRenewed } from "../model/clusterMessages.ts";
import { HolderHealthKind, type HolderOrder, type HolderOrderDone, OrderKind } from "../model/healthMessages.ts";
import { HolderPipeKind, type HolderTimer } from "../model/holderPipeMessages.ts";
import { clearDeadline, setDeadline } from "../pipeline/deadlineQueue.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import type { HolderSettings } from "./holderSettings.ts";
import { LeaseTable } from "./leaseTable.ts";

export interface OrdersOptions {
    readonly settings: HolderSettings;
}

type LinkEvent = BackendOpened | BackendOpenFailed | BackendClosed | BackendOrdered;
type OrdersInput =
    | HolderOrder
    | LinkEvent
    | HolderTimer<typeof HolderPipeKind.OrderDue>
    | DatabasesChanged
    | LeasesRenewed;

export class OrdersFilter implements Filter<OrdersInput, Message> {
    readonly step = "orders";
    readonly accepts = [
        HolderHealthKind.Order,
        BackendKind.Opened,
        BackendKind.OpenFailed,
        BackendKind.Closed,
        BackendKind.Ordered,
        HolderPipeKind.OrderDue,
        ClusterKind.DatabasesChanged,
        ClusterKind.LeasesRenewed,
    ];
    private readonly settings: HolderSettings;
    private readonly leases = new LeaseTable();
    private readonly addresses = new Map<string, string>();
    private readonly orders = new Map<string, HolderOrder>();
    private nextNumber = 0;

    constructor(options: OrdersOptions) {
        this.settings = options.settings;
    }

    process(message: OrdersInput, nowMs: number): readonly Message[] {
        return match(message)
            .with({ kind: HolderHealthKind.Order }, order => this.start(order, nowMs))
            .with(
                { kind: P.union(BackendKind.Opened, BackendKind.OpenFailed, BackendKind.Closed, BackendKind.Ordered) },
                event => this.handleLinkEvent(event, nowMs),
            )
            .with({ kind: HolderPipeKind.OrderDue }, timer => {
                const order = this.orders.get(timer.subject);
                return order === undefined ? [] : this.finish(timer.subject, order, "no answer in time");
            })
            .with({ kind: ClusterKind.DatabasesChanged }, changed => {
                this.addresses.clear();
                changed.databases.forEach(view => this.addresses.set(view.databaseId, view.address));
                return [changed];
            })
            .with({ kind: ClusterKind.LeasesRenewed }, renewed => {
                this.leases.renew(renewed);
                return [renewed];
            })
            .exhaustive();
    }

    private start(order: HolderOrder, nowMs: number): readonly Message[] {
        const { databaseId } = order;
        const address = this.addresses.get(databaseId);
        if (address === undefined || !this.leases.isValid(databaseId, nowMs)) {
            return [createOrderDone(order, "this instance does not hold the database")];
        }
        const linkId = `order:${this.nextNumber++}`;
        this.orders.set(linkId, order);
        const due: HolderTimer = { kind: HolderPipeKind.OrderDue, subject: linkId };
        const open = { kind: BackendKind.Open, linkId, databaseId, address, timeoutMs: this.settings.openTimeoutMs };
        return [open as Message, setDeadline(timerKey(linkId), nowMs + this.settings.orderLimitMs, due)];
    }

    private handleLinkEvent(event: LinkEvent, nowMs: number): readonly Message[] {
        const order = this.orders.get(event.linkId);
        if (order === undefined) {
            return event.linkId.startsWith("order:") ? [] : [event];
        }
        return match(event)
            .with({ kind: BackendKind.Opened }, ({ linkId }) =>
                this.leases.isValid(order.databaseId, nowMs)
                    ? [createOrderMessage(linkId, order)]
                    : this.finish(linkId, order, "the lease ended"))
            .with({ kind: BackendKind.Ordered }, ({ linkId, failure }) => this.finish(linkId, order, failure))
            .with(
                { kind: P.union(BackendKind.OpenFailed, BackendKind.Closed) },
                ({ linkId, reason }) => this.finish(linkId, order, reason),
            )
            .exhaustive();
    }

    private finish(linkId: string, order: HolderOrder, failure: string | undefined): readonly Message[] {
        this.orders.delete(linkId);
        return [
            clearDeadline(timerKey(linkId)),
            { kind: BackendKind.Close, linkId } as Message,
            createOrderDone(order, failure),
        ];
    }
}

function timerKey(linkId: string): string {
    return `holder.order:${linkId}`;
}

function createOrderDone({ orderId, databaseId }: HolderOrder, failure: string | undefined): HolderOrderDone {
    return { kind: HolderHealthKind.OrderDone, orderId, databaseId, failure };
}

function createOrderMessage(linkId: string, { orderId, order }: HolderOrder): BackendPromote | BackendFollow {
    const commonFields = { linkId, executionId: orderId, term: order.term };
    return order.kind === OrderKind.Promote
        ? { ...commonFields, kind: BackendKind.Promote }
        : { ...commonFields, kind: BackendKind.Follow, primaryAddress: order.primaryAddress };
}
